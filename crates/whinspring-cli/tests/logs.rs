//! Requests and keys explained from log files.

use {
    std::path::Path,
    whinspring_cli::{
        log::Log,
        view::{KeyLog, RequestLog},
    },
};

/// Returns the logs of two nodes. One has the prefixes that a log collector adds, the other a line
/// that is not JSON.
fn read_logs() -> Log {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/logs");
    Log::read([folder.join("node-0.log").as_path(), folder.join("node-1.log").as_path()]).unwrap()
}

#[test]
fn a_request_without_an_owner_is_explained_by_the_move_of_its_key() {
    insta::assert_snapshot!(RequestLog::new(&read_logs(), "6dbd920af54dc152"));
}

#[test]
fn a_refused_request_is_explained_by_what_happened_to_its_server() {
    insta::assert_snapshot!(RequestLog::new(&read_logs(), "32c832eee1c8d540"));
}

#[test]
fn a_request_that_may_have_run_is_explained_by_the_loss_of_its_server() {
    insta::assert_snapshot!(RequestLog::new(&read_logs(), "5ee96e049de0ae0d"));
}

#[test]
fn key_changes_are_printed_in_order() {
    insta::assert_snapshot!(KeyLog::new(&read_logs(), 48_275, Some("desk")));
}

#[test]
fn lines_that_cannot_be_read_are_counted() {
    assert_eq!(read_logs().skipped, 1);
}

#[test]
fn unknown_request_has_no_lines() {
    assert!(RequestLog::new(&read_logs(), "0000000000000000").lines.is_empty());
}
