//! What counts as a broken promise.

use {
    hyper::Method,
    std::{
        net::SocketAddr,
        time::{Duration, Instant},
    },
    whinspring_bench::{
        driver::{Request, Sending, Story},
        verdict::Verdict,
    },
    whinspring_standin::{
        caller::{Class, End, Reply},
        runs::{Event, Line},
    },
};

fn reply(end: End, class: Class, verified: bool) -> Sending {
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
    Sending { entry: SocketAddr::from(([127, 0, 0, 1], 1)), began: Instant::now(), reply }
}

fn story(method: Method, sendings: Vec<Sending>) -> Story {
    Story { request: Request::new(method, "/a"), sendings, took: Duration::ZERO }
}

/// Judges one story whose request was started so many times.
fn judge(story: &Story, starts: u64) -> Verdict {
    let line = |run| Line {
        t_us: run,
        server: "a".into(),
        boot: 1,
        run,
        event: Event::Start,
        id: story.request.id.clone(),
        slice: None,
        epoch: None,
        term: None,
        path: "/a".into(),
        key: String::new(),
        method: story.request.method.to_string(),
    };
    let runs: Vec<_> = (0..starts).map(line).collect();
    Verdict::new([story], &runs)
}

#[test]
fn done_with_one_run_is_right() {
    let story = story(Method::POST, vec![reply(End::Whole, Class::Done, true)]);
    assert!(judge(&story, 1).is_right());
    assert_eq!(judge(&story, 0).unlogged, 1);
    assert_eq!(judge(&story, 2).doubled, 1);
}

#[test]
fn repeatable_request_may_run_twice() {
    let sendings = vec![reply(End::Cut, Class::Done, false), reply(End::Whole, Class::Done, true)];
    assert!(judge(&story(Method::GET, sendings), 2).is_right());
}

#[test]
fn refused_request_that_ran_is_seen() {
    let story = story(Method::GET, vec![reply(End::Whole, Class::NotRun, false); 2]);
    let verdict = judge(&story, 1);
    assert_eq!((verdict.false_not_run, verdict.not_run), (1, 1));
    assert_eq!(judge(&story, 0).false_not_run, 0);
}

#[test]
fn foreign_answer_and_silence_are_seen() {
    let foreign = story(Method::GET, vec![reply(End::Whole, Class::Done, false)]);
    assert_eq!(judge(&foreign, 1).wrong, 1);
    let silent = story(Method::GET, vec![reply(End::Silent, Class::Done, false)]);
    assert_eq!(judge(&silent, 1).silent, 1);
    assert!(!judge(&silent, 1).is_right());
}
