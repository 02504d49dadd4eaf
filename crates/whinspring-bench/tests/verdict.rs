//! Which request histories count as violations.

use {
    hyper::Method,
    std::{
        net::SocketAddr,
        time::{Duration, Instant},
    },
    whinspring_bench::{
        driver::{Attempt, History, Request},
        verdict::Verdict,
    },
    whinspring_standin::{
        caller::{Class, End, Reply},
        runs::{Event, Line},
    },
};

fn reply(end: End, class: Class, verified: bool) -> Attempt {
    let reply = Reply {
        end,
        status: 200,
        code: None,
        class: Some(class),
        retry_ms: None,
        retry_after: false,
        verified,
        bytes: 0,
        echo: None,
        latency: Duration::ZERO,
    };
    Attempt { entry: SocketAddr::from(([127, 0, 0, 1], 1)), sent_at: Instant::now(), reply }
}

fn history(method: Method, attempts: Vec<Attempt>) -> History {
    History { request: Request::new(method, "/a"), attempts, elapsed: Duration::ZERO }
}

/// Checks one history whose request was started `starts` times.
fn evaluate(history: &History, starts: u64) -> Verdict {
    let line = |run| Line {
        t_us: run,
        server: "a".into(),
        boot: 1,
        run,
        event: Event::Start,
        id: history.request.id.clone(),
        slice: None,
        epoch: None,
        term: None,
        path: "/a".into(),
        key: String::new(),
        method: history.request.method.to_string(),
    };
    let runs: Vec<_> = (0..starts).map(line).collect();
    Verdict::new([history], &runs)
}

#[test]
fn done_with_one_run_is_right() {
    let history = history(Method::POST, vec![reply(End::Whole, Class::Done, true)]);
    assert!(evaluate(&history, 1).is_correct());
    assert_eq!(evaluate(&history, 0).unlogged, 1);
    assert_eq!(evaluate(&history, 2).doubled, 1);
}

#[test]
fn repeatable_request_may_run_twice() {
    let attempts = vec![reply(End::Cut, Class::Done, false), reply(End::Whole, Class::Done, true)];
    assert!(evaluate(&history(Method::GET, attempts), 2).is_correct());
}

#[test]
fn refused_request_that_ran_is_seen() {
    let history = history(Method::GET, vec![reply(End::Whole, Class::NotRun, false); 2]);
    let verdict = evaluate(&history, 1);
    assert_eq!((verdict.false_not_run, verdict.not_run), (1, 1));
    assert_eq!(evaluate(&history, 0).false_not_run, 0);
}

#[test]
fn foreign_answer_and_silence_are_seen() {
    let foreign = history(Method::GET, vec![reply(End::Whole, Class::Done, false)]);
    assert_eq!(evaluate(&foreign, 1).wrong, 1);
    let silent = history(Method::GET, vec![reply(End::Silent, Class::Done, false)]);
    assert_eq!(evaluate(&silent, 1).silent, 1);
    assert!(!evaluate(&silent, 1).is_correct());
}
