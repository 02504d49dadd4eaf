//! Checks that parsing settings reports all faults at once.

use whinspring::settings::{Format, Key, Level, Secret, Settings};

/// Example of the documentation.
const EXAMPLE: &str = include_str!("../../../docs/whinspringd.ini");

/// Settings with only the required keys.
const MINIMAL: &str = "\
[node]
name = a
domain = d
deployment = t
caller = 127.0.0.1:1
peer = 127.0.0.1:2
admin = 127.0.0.1:3
platform = http://127.0.0.1:4/
key = 000102030405060708090a0b0c0d0e0f
";

/// Returns the faults of `text`, one per line.
fn faults(text: &str) -> String {
    let faults = Settings::parse(text).unwrap_err();
    faults.iter().map(|fault| format!("{fault}\n")).collect()
}

#[test]
fn example_loads() {
    let settings = Settings::parse(EXAMPLE).unwrap();
    assert_eq!(settings.node.name, "entry-1");
    assert_eq!(settings.node.peers.len(), 2, "the node itself is left out");
    assert_eq!(settings.limits.drain_ms, 900_000);
    assert_eq!(settings.log.format, Format::Json);
}

#[test]
fn example_shows_every_key_and_the_defaults() {
    let minimal = Settings::parse(MINIMAL).unwrap();
    let example = Settings::parse(EXAMPLE).unwrap();
    assert_eq!(minimal.limits, example.limits);
    assert_eq!(minimal.log, example.log);

    let unknown = faults(&EXAMPLE.replace("[limits]", "[limits]\nx = 1"));
    let known = unknown.split("known keys: ").nth(1).unwrap().trim();
    for key in known.split(", ") {
        assert!(EXAMPLE.contains(&format!("\n{key} = ")), "{key} is not in the example");
    }
}

#[test]
fn minimal_settings_load() {
    let settings = Settings::parse(MINIMAL).unwrap();
    assert_eq!(settings.node.platform, "127.0.0.1:4".parse().unwrap());
    assert_eq!(settings.node.secret, Secret::Key(Key((0..16).collect())));
    assert_eq!(settings.log.level, Level::Info);
    assert!(settings.node.peers.is_empty());
}

#[test]
fn every_fault_is_listed_at_once() {
    let text = "\
name = early
[node]
name = not a name
domain = d
domain = e
caller = 10.0.0.4
peer = 0.0.0.0:7000
admin = 10.0.0.4:7001
platform = somewhere
key = beef
peers = 10.0.0.4:7000, nowhere
colour = blue
[limits]
in_flight = 0
drain_ms = 5 minutes
just words
[log]
level = loud
[nodes]
[log]
";
    insta::assert_snapshot!(faults(text));
}

#[test]
fn empty_settings_name_what_is_missing() {
    insta::assert_snapshot!(faults(""));
}

#[test]
fn ports_must_differ() {
    let text = MINIMAL.replace("127.0.0.1:2", "127.0.0.1:1").replace("127.0.0.1:3", "127.0.0.1:1");
    insta::assert_snapshot!(faults(&text));
}

#[test]
fn key_and_key_file_are_exclusive() {
    let both = format!("{MINIMAL}key_file = /k\n");
    insta::assert_snapshot!(faults(&both));

    let file = MINIMAL.replace("key = 000102030405060708090a0b0c0d0e0f", "key_file = /k");
    let settings = Settings::parse(&file).unwrap();
    assert_eq!(settings.node.secret, Secret::File("/k".into()));
}

#[test]
fn key_is_not_printed() {
    let settings = Settings::parse(MINIMAL).unwrap();
    assert!(format!("{settings:?}").contains("Key(..)"));
    let short = MINIMAL.replace("000102030405060708090a0b0c0d0e0f", "0badcafe");
    assert!(!faults(&short).contains("0badcafe"));
}
