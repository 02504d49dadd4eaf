//! Output of the commands; also checks that only confirmed plans change records.

#[path = "support/fake.rs"]
mod fake;

use {
    fake::{Fake, run},
    std::collections::BTreeMap,
    whinspring::{
        declaration,
        model::{
            Controller, Holder, Holders, Node, NodeState, Owner, PlanState, Segment, ServerState,
            Suspect,
        },
        name::ServerId,
        record::{Key, Kind, Value},
    },
    whinspring_cli::{command, exit::Exit, intent, text::WIDTH, view::Format},
};

const DECLARATION: &str = include_str!("../../../docs/reservations.ini");

/// Returns a deployment of two nodes and one service with six slices.
fn deployment() -> Fake {
    let fake = Fake::default();
    let mut service = declaration::parse(DECLARATION).unwrap();
    service.slices = 6;
    fake.set(Key::new(Kind::Service, "reservations"), Value::Service(service));

    let owner = |index: u32| Owner { server: ServerId(index), epoch: 2, next: None };
    let owners = (0..6).map(|index| owner(index / 2)).collect();
    let keys = BTreeMap::from([("bay 7".into(), owner(2))]);
    let segment = Segment { first: 0, owners, keys };
    fake.set(Key::segment("reservations", 0), Value::Segment(segment));

    for (name, domain) in [("entry-1", "dar-a"), ("entry-2", "dar-b")] {
        let addr = "10.0.0.4:7000".parse().unwrap();
        let (incarnation, state, lessors) = (1, NodeState::Live, Vec::new());
        let (name, domain) = (name.into(), domain.into());
        let node = Node { name, incarnation, addr, domain, state, lessors };
        fake.set(Key::new(Kind::Node, node.name.clone()), Value::Node(node));
    }
    let holder = |id: u32| {
        let node = if id == 0 { "entry-1" } else { "entry-2" };
        Holder { node: node.into(), incarnation: 1, term: 3, next: None }
    };
    let terms = (0..3).map(|id| (ServerId(id), holder(id))).collect();
    fake.set(Key::new(Kind::Holders, "reservations"), Value::Holders(Holders { terms }));
    let term = Controller { node: "entry-1".into(), incarnation: 1, term: 1 };
    fake.set(Key::new(Kind::Controller, "controller"), Value::Controller(term));
    fake
}

/// Runs a command, checks that it succeeds and that its lines fit, and returns its output.
async fn run_ok(fake: &Fake, line: &[&str]) -> String {
    let (exit, text) = run(fake, line, Format::Text).await;
    assert_eq!(exit, Exit::Success, "{text}");
    assert!(text.lines().all(|line| line.chars().count() <= WIDTH), "{text}");
    text
}

/// Returns the path of the example declaration.
fn declaration_path() -> String {
    format!("{}/../../docs/reservations.ini", env!("CARGO_MANIFEST_DIR"))
}

#[tokio::test]
async fn declaration_prints_a_plan_and_changes_nothing() {
    let fake = Fake::default();
    insta::assert_snapshot!(run_ok(&fake, &["service", "declare", &declaration_path()]).await);
    let states: Vec<_> = fake.plans().iter().map(|plan| plan.state).collect();
    assert_eq!(states, [PlanState::Proposed]);
    assert!(run(&fake, &["status"], Format::Text).await.1.contains("PLAN1"));
}

#[tokio::test]
async fn drain_prints_a_plan() {
    let fake = deployment();
    insta::assert_snapshot!(run_ok(&fake, &["server", "drain", "reservations", "bay-3"]).await);
}

#[tokio::test]
async fn plan_as_json() {
    let fake = deployment();
    let line = ["move", "key", "reservations", "bay 7", "bay 8", "--to", "bay-1"];
    let (exit, text) = run(&fake, &line, Format::Json).await;
    assert_eq!(exit, Exit::Success);
    insta::assert_snapshot!(text);
}

#[tokio::test]
async fn every_intent_reads_back_from_its_plan() {
    let fake = deployment();
    let suspect = Suspect { print: 0xabc, deaths: 2, last_ms: 1, cleared: false };
    fake.set(Key::new(Kind::Suspect, "0000000000000abc"), Value::Suspect(suspect));
    let file = declaration_path();
    let server = ["--addr", "10.0.9.9:1", "--domain", "dar-d", "--fenced", "yes"];
    let lines: [&[&str]; 10] = [
        &["server", "drain", "reservations", "bay-1"],
        &["server", "fence", "reservations", "bay-1", "no"],
        &[&["server", "add", "reservations", "bay-9"][..], &server].concat(),
        &[&["server", "replace", "reservations", "bay-1", "bay-9"][..], &server].concat(),
        &["move", "slice", "reservations", "0", "1", "--to", "bay-3"],
        &["move", "key", "reservations", "--to", "bay-1", "--", "it's bay 7", "--x", "\\"],
        &["share", "reservations", "3", "--", "a 'big' one"],
        &["clear", "abc"],
        &["server", "return", "reservations", "bay-2"],
        &["service", "declare", &file],
    ];
    for line in lines {
        if line[1] == "return" {
            let mut service = declaration::parse(DECLARATION).unwrap();
            service.servers.get_mut(&ServerId(1)).unwrap().state = ServerState::Draining;
            service.deadline_ms += 1;
            fake.set(Key::new(Kind::Service, "reservations"), Value::Service(service));
        }
        run_ok(&fake, line).await;
        let plan = fake.plans().pop().unwrap();
        let intent = intent::from_plan(&plan).unwrap_or_else(|| panic!("{}", plan.intent));
        assert_eq!(intent.to_string(), plan.intent.as_str());
    }
}

#[tokio::test]
async fn refusals_have_numbers() {
    let fake = deployment();
    let lines: [&[&str]; 4] = [
        &["server", "drain", "nothing", "bay-1"],
        &["server", "drain", "reservations", "bay-7"],
        &["move", "slice", "reservations", "9", "--to", "bay-1"],
        &["confirm", "pxxxxxx"],
    ];
    let mut texts = String::new();
    for line in lines {
        let (exit, text) = run(&fake, line, Format::Text).await;
        assert_eq!(exit, Exit::Refused);
        texts.push_str(&text);
    }
    let (_, text) = run(&fake, &["confirm", "pxxxxxx"], Format::Json).await;
    texts.push_str(&text);
    insta::assert_snapshot!(texts);
}

#[tokio::test]
async fn faults_of_a_file_are_all_printed() {
    let path = format!("{}/bad.ini", env!("CARGO_TARGET_TMPDIR"));
    std::fs::write(&path, "[service]\nname = a b\nkey = none\n[server x]\naddr = y\n").unwrap();
    let (exit, text) = run(&Fake::default(), &["service", "declare", &path], Format::Text).await;
    assert_eq!(exit, Exit::Usage);
    insta::assert_snapshot!(text.split_once('\n').unwrap().1);
}

#[tokio::test(start_paused = true)]
async fn confirmed_plan_is_followed_to_its_end() {
    let fake = deployment();
    run_ok(&fake, &["server", "fence", "reservations", "bay-3", "yes"]).await;
    fake.start_controller();
    let id = fake.plans()[0].id.clone();
    insta::assert_snapshot!(run_ok(&fake, &["confirm", &id, "--wait"]).await);

    let (exit, text) = run(&fake, &["confirm", &id], Format::Text).await;
    assert_eq!(exit, Exit::Conflict);
    assert!(text.starts_with("error 721: plan PLAN1 is finished"), "{text}");
}

#[tokio::test(start_paused = true)]
async fn plan_without_a_controller_stays_confirmed() {
    let fake = deployment();
    run_ok(&fake, &["server", "fence", "reservations", "bay-3", "yes"]).await;
    let id = fake.plans()[0].id.clone();
    assert!(run_ok(&fake, &["confirm", &id]).await.contains("confirmed, 0 of 1"));
    let (exit, _) = run(&fake, &["watch", &id], Format::Text).await;
    assert_eq!(exit, Exit::StillRunning);
}

#[tokio::test]
async fn aborted_plan_cannot_be_confirmed() {
    let fake = deployment();
    run_ok(&fake, &["server", "drain", "reservations", "bay-3"]).await;
    let id = fake.plans()[0].id.clone();
    insta::assert_snapshot!(run_ok(&fake, &["abort", &id]).await);
    assert_eq!(run(&fake, &["confirm", &id], Format::Text).await.0, Exit::Conflict);
    assert_eq!(run(&fake, &["abort", &id], Format::Text).await.0, Exit::Conflict);
}

#[tokio::test(start_paused = true)]
async fn writes_with_lost_replies_are_retried() {
    let fake = deployment();
    fake.lose_replies(2);
    run_ok(&fake, &["server", "fence", "reservations", "bay-3", "yes"]).await;
    assert_eq!(fake.plans().len(), 1);
    fake.lose_replies(1);
    fake.start_controller();
    let id = fake.plans()[0].id.clone();
    run_ok(&fake, &["confirm", &id, "--wait"]).await;
}

#[tokio::test]
async fn failed_plan_stays_in_doctor_until_aborted() {
    let fake = deployment();
    run_ok(&fake, &["server", "drain", "reservations", "bay-3"]).await;
    let mut plan = fake.plans()[0].clone();
    plan.state = PlanState::Failed;
    plan.reason = "723 service/reservations is being changed".into();
    fake.set(Key::new(Kind::Plan, plan.id.clone()), Value::Plan(plan.clone()));
    assert_eq!(run(&fake, &["doctor"], Format::Text).await.0, Exit::Success, "it changed nothing");

    plan.reason = "server s1 is lost or leaves".into();
    fake.set(Key::new(Kind::Plan, plan.id.clone()), Value::Plan(plan.clone()));
    let (exit, text) = run(&fake, &["doctor"], Format::Text).await;
    assert_eq!(exit, Exit::Problem);
    assert!(text.contains("plan PLAN1 failed, 0 of 1 steps done: server s1 is lost"), "{text}");
    run_ok(&fake, &["abort", &plan.id]).await;
    assert_eq!(run(&fake, &["doctor"], Format::Text).await.0, Exit::Success);
}

#[tokio::test]
async fn status_owners_and_plans() {
    let fake = deployment();
    run_ok(&fake, &["server", "drain", "reservations", "bay-3"]).await;
    let mut texts = run_ok(&fake, &["status"]).await;
    texts.push_str(&run_ok(&fake, &["owners", "bay 7"]).await);
    texts.push_str(&run_ok(&fake, &["owners", "bay 1", "--service", "reservations"]).await);
    texts.push_str(&run_ok(&fake, &["plans"]).await);
    insta::assert_snapshot!(texts);
}

#[tokio::test]
async fn doctor_prints_the_worst_first() {
    let fake = deployment();
    assert_eq!(run_ok(&fake, &["doctor"]).await, "no problems found\n");

    let suspect = Suspect { print: 0xabc, deaths: 2, last_ms: 1, cleared: false };
    fake.set(Key::new(Kind::Suspect, "0000000000000abc"), Value::Suspect(suspect));
    let mut service = declaration::parse(DECLARATION).unwrap();
    service.slices = 8;
    service.servers.get_mut(&ServerId(1)).unwrap().state = ServerState::Lost;
    service.servers.get_mut(&ServerId(2)).unwrap().state = ServerState::Draining;
    fake.set(Key::new(Kind::Service, "reservations"), Value::Service(service));
    let term = Controller { node: "entry-9".into(), incarnation: 1, term: 2 };
    fake.set(Key::new(Kind::Controller, "controller"), Value::Controller(term));
    let (exit, text) = run(&fake, &["doctor"], Format::Text).await;
    assert_eq!(exit, Exit::Problem);
    insta::assert_snapshot!(text);
}

#[test]
fn help_fits_a_narrow_screen() {
    let mut commands = vec![command::command()];
    while let Some(mut command) = commands.pop() {
        let help = command.render_long_help().to_string();
        assert!(help.lines().all(|line| line.chars().count() <= WIDTH), "{help}");
        commands.extend(command.get_subcommands().cloned());
    }
}

#[test]
fn exit_codes_are_as_documented() {
    let page = include_str!("../../../docs/RESULTS.md");
    for (exit, meaning) in Exit::TABLE {
        let row = format!("| {} | {meaning} |", *exit as u8);
        assert!(page.contains(&row), "{row}");
    }
}

#[test]
fn commands_named_in_the_docs_exist() {
    let pages = [
        include_str!("../../../README.md"),
        include_str!("../../../docs/OPERATIONS.md"),
        include_str!("../../../docs/CONFIG.md"),
        include_str!("../../../docs/RESULTS.md"),
    ];
    let command = command::command();
    let mut named = 0;
    for page in pages {
        for rest in page.split("whinspring ").skip(1) {
            let words: Vec<_> = rest.split(|c: char| !c.is_ascii_lowercase()).take(2).collect();
            let written = page.contains(&format!("`whinspring {}", words[0]))
                || page.contains(&format!("    whinspring {}", words[0]));
            if !written {
                continue;
            }
            let found = command.find_subcommand(words[0]).unwrap_or_else(|| panic!("{words:?}"));
            if found.has_subcommands() {
                assert!(found.find_subcommand(words[1]).is_some(), "{words:?}");
            }
            named += 1;
        }
    }
    assert!(named > 20, "{named}");
}
