//! Checks that parsing a declaration reports all faults at once.

use whinspring::{
    declaration,
    model::{KeyPlace, Service},
};

/// Example of the documentation.
const EXAMPLE: &str = include_str!("../../../docs/reservations.ini");

/// Returns the faults of `text`, one per line.
fn faults(text: &str) -> String {
    let faults = declaration::parse(text).unwrap_err();
    faults.iter().map(|fault| format!("{fault}\n")).collect()
}

#[test]
fn example_loads() {
    let service: Service = declaration::parse(EXAMPLE).unwrap();
    assert_eq!(service.name, "reservations");
    assert_eq!(service.key, Some(KeyPlace::PathPart(0)));
    assert_eq!(service.servers.len(), 3);
    assert!(declaration::check(&service).is_empty());
}

#[test]
fn unkeyed_service_has_no_slices() {
    let text = EXAMPLE.replace("key = path:0", "key = none");
    insta::assert_snapshot!(faults(&text));
    let service = declaration::parse(&text.replace("slices = 4096", "")).unwrap();
    assert_eq!((service.key, service.slices), (None, 0));
}

#[test]
fn every_fault_is_listed_at_once() {
    insta::assert_snapshot!(faults(
        "\
[service]
name = bay lines
prefix = reservations/
key = body:0
slices = many
deadline_ms = 0
[server a b]
addr = 10.0.0.1:0
domain =
fenced = maybe
slots = 0
colour = blue
[servers]
"
    ));
}

#[test]
fn cross_entry_faults_name_their_lines() {
    insta::assert_snapshot!(faults(
        "\
[service]
name = bays
prefix = /bays
key = header:X-Bay
deadline_ms = 500
cap_ms = 400
[server a]
addr = 10.0.0.1:9000
domain = d
fenced = yes
conns = 1
[server b c]
addr = 10.0.0.1:9000
domain = d
fenced = no
"
    ));
}

#[test]
fn empty_text_names_what_is_missing() {
    insta::assert_snapshot!(faults(""), @"the section service is missing; add [service] with name and prefix");
}

#[test]
fn service_without_servers_is_refused() {
    insta::assert_snapshot!(faults("[service]\nname = a\nprefix = /a\nkey = none\n"), @"line 1: [service] the service has no active server; add a section such as [server NAME]");
}
