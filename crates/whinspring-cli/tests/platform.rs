//! Commands run against the platform stand-in.

use {
    whinspring::model::PlanState,
    whinspring_cli::{Output, command, dispatch, error::Error, exit::Exit, plans, view::Format},
    whinspring_platform::Platform,
    whinspring_standin::platform::{Options, start},
};

/// Runs a command and returns its exit code and JSON output.
async fn run(platform: &Platform, line: &[&str]) -> Result<(Exit, serde_json::Value), Error> {
    let line = ["whinspring", "--json"].iter().chain(line);
    let matches = command::command().try_get_matches_from(line).unwrap();
    let mut out = Output { format: Format::Json, sink: Vec::new() };
    let exit = dispatch(&matches, platform, &[], &mut out).await?;
    Ok((exit, serde_json::from_slice(&out.sink).unwrap()))
}

#[tokio::test]
async fn plan_is_stored_and_confirmed() {
    let running = start(Options::default()).await.unwrap();
    let platform = Platform::new(running.addr);
    let file = format!("{}/../../docs/reservations.ini", env!("CARGO_MANIFEST_DIR"));
    let (exit, plan) = run(&platform, &["service", "declare", &file]).await.unwrap();
    assert_eq!(exit, Exit::Success);
    let id = plan["plan"].as_str().unwrap().into();

    let confirmed = plans::confirm(&platform, &id).await.unwrap();
    assert_eq!(plans::get(&platform, &id).await.unwrap(), confirmed);
    assert_eq!(plans::confirm(&platform, &id).await.unwrap_err().number(), Some(721));
    assert_eq!(plans::abort(&platform, &id).await.unwrap().plan.state, PlanState::Aborted);

    let (_, listed) = run(&platform, &["plans", "--all"]).await.unwrap();
    assert_eq!(listed["plans"][0]["state"], "aborted");
    running.close().await;
}

#[tokio::test]
async fn unreachable_platform_has_its_own_exit_code() {
    let running = start(Options::default()).await.unwrap();
    let platform = Platform::new(running.addr);
    running.close().await;
    let error = run(&platform, &["status"]).await.unwrap_err();
    assert_eq!(error.exit_code(), Exit::NoPlatform);
}
