//! Two operators confirm conflicting plans: one plan is executed completely, the other fails with
//! the reason and is replaced by a new plan.

#[path = "support/fake.rs"]
mod fake;

use {
    fake::{Fake, run},
    whinspring::{
        declaration,
        model::{PlanState, ServerState},
        name::ServerId,
        plan,
        record::{Key, Kind, Value},
    },
    whinspring_cli::{exit::Exit, plans, store::Store, view::Format},
};

/// Returns a service with two conflicting plans, each of which drains one server.
async fn conflicting_plans() -> Fake {
    let fake = Fake::default();
    let text = include_str!("../../../docs/reservations.ini");
    let service = declaration::parse(text).unwrap();
    fake.set(Key::new(Kind::Service, "reservations"), Value::Service(service));
    for server in ["bay-1", "bay-2"] {
        run(&fake, &["server", "drain", "reservations", server], Format::Text).await;
    }
    fake
}

/// Returns the states of the service's three servers.
async fn server_states(fake: &Fake) -> Vec<ServerState> {
    let records = fake.list().await.unwrap();
    let service = plan::service(&records, "reservations").unwrap();
    (0..3).map(|id| service.servers[&ServerId(id)].state).collect()
}

#[tokio::test(start_paused = true)]
async fn second_confirmation_is_refused_with_a_fresh_plan() {
    let fake = conflicting_plans().await;
    fake.start_controller();
    let [first, second] = [0, 1].map(|index| fake.plans()[index].id.clone());
    assert_eq!(run(&fake, &["confirm", &first, "--wait"], Format::Text).await.0, Exit::Success);

    let (exit, text) = run(&fake, &["confirm", &second], Format::Text).await;
    assert_eq!(exit, Exit::Conflict);
    insta::assert_snapshot!(text);
    let expected = [ServerState::Draining, ServerState::Active, ServerState::Active];
    assert_eq!(server_states(&fake).await, expected);

    let fresh = fake.plans().pop().unwrap();
    assert_eq!(run(&fake, &["confirm", &fresh.id, "--wait"], Format::Text).await.0, Exit::Success);
    let expected = [ServerState::Draining, ServerState::Draining, ServerState::Active];
    assert_eq!(server_states(&fake).await, expected);
}

#[tokio::test(start_paused = true)]
async fn concurrent_confirmations_have_one_winner() {
    let fake = conflicting_plans().await;
    let [first, second] = [0, 1].map(|index| fake.plans()[index].id.clone());
    plans::confirm(&fake, &second).await.unwrap();
    plans::confirm(&fake, &first).await.unwrap();
    fake.start_controller();

    let (exit, _) = run(&fake, &["watch", &second], Format::Text).await;
    assert_eq!(exit, Exit::Success, "the earlier confirmation wins");
    let (exit, text) = run(&fake, &["watch", &first], Format::Text).await;
    assert_eq!(exit, Exit::Conflict);
    insta::assert_snapshot!(text);
    let expected = [ServerState::Active, ServerState::Draining, ServerState::Active];
    assert_eq!(server_states(&fake).await, expected);
}

#[tokio::test(start_paused = true)]
async fn confirmation_with_a_lost_reply_is_no_conflict() {
    let fake = conflicting_plans().await;
    fake.start_controller();
    fake.lose_replies(1);
    let id = fake.plans()[0].id.clone();
    let (exit, text) = run(&fake, &["confirm", &id], Format::Text).await;
    assert_eq!((exit, &text[..]), (Exit::Success, "plan PLAN2: finished, 1 of 1 steps done\n"));
}

#[tokio::test(start_paused = true)]
async fn plan_cannot_be_confirmed_twice() {
    let fake = conflicting_plans().await;
    let id = fake.plans()[0].id.clone();
    plans::confirm(&fake, &id).await.unwrap();
    let error = plans::confirm(&fake, &id).await.unwrap_err();
    assert_eq!(error.number(), Some(721));
    let aborted = plans::abort(&fake, &id).await.unwrap();
    assert_eq!(aborted.plan.state, PlanState::Aborted);
}
