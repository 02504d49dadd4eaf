//! Service declarations: INI text that describes a service and its servers.
//!
//! [`parse`] checks the whole text and reports all faults at once. [`check`] contains the rules
//! that every service must satisfy, whether it was parsed or changed by a plan. `docs/CONFIG.md`
//! explains the keys and `docs/reservations.ini` is a commented example.

use {
    crate::{
        ini::{self, Fault, NAME_HINT, Reader, Section, parse_flag, parse_name, parse_token},
        model::{KeyPlace, Server, ServerState, Service},
        name::{Name, ServerId},
    },
    std::{
        collections::{BTreeMap, BTreeSet},
        net::SocketAddr,
    },
};

pub const MAX_SLICES: u32 = 1 << 20;

/// Upper limit on the deadlines that a service accepts.
pub const MAX_DEADLINE_MS: u32 = 3_600_000;

/// Upper limit on the concurrent requests of a server.
pub const MAX_SLOTS: u32 = 10_000;

/// Upper limit on the connections to a server.
pub const MAX_CONNS: u32 = 100_000;

/// Number of slices of a keyed service.
const DEFAULT_SLICES: u32 = 4_096;

/// Deadline of requests without one.
const DEFAULT_DEADLINE_MS: u32 = 2_000;

/// Longest deadline that is accepted.
const DEFAULT_CAP_MS: u32 = 30_000;

/// Concurrent requests of a server.
const DEFAULT_SLOTS: u32 = 2;

/// Connections to a server.
const DEFAULT_CONNS: u32 = 100;

/// Parses a service and its servers, which get ids from zero in the order of the text.
///
/// # Errors
///
/// Returns all faults of the text, ordered by line.
pub fn parse(text: &str) -> Result<Service, Vec<Fault>> {
    let (sections, mut faults) = ini::parse(text);
    let mut service = None;
    let mut servers = Vec::new();
    for section in &sections {
        match section.name.split_once(' ') {
            None if section.name == "service" => service = read_service(section, &mut faults),
            Some(("server", name)) => servers.extend(read_server(section, name, &mut faults)),
            _ => faults.push(unknown_section(section)),
        }
    }
    if !sections.iter().any(|section| section.name == "service") {
        faults.push(missing_section());
    }
    if let Some(service) = &mut service {
        service.servers = (0..).map(ServerId).zip(servers).collect();
        faults.extend(check(service).into_iter().map(|fault| locate(&sections, fault)));
    }
    faults.sort_by_key(|fault| fault.line);
    service.filter(|_| faults.is_empty()).ok_or(faults)
}

/// Returns the faults of a service, however it was created.
pub fn check(service: &Service) -> Vec<Fault> {
    let mut faults = Vec::new();
    let mut report = |key: &str, text: &str, hint: &str| {
        faults.push(service_fault(key, text, hint));
    };
    if parse_name(&service.name).is_none() {
        report("name", "the name is not accepted", NAME_HINT);
    }
    if !is_prefix(&service.prefix) {
        report("prefix", "the prefix is not a valid path", PREFIX_HINT);
    }
    match service.key {
        Some(_) if !(1..=MAX_SLICES).contains(&service.slices) => {
            report(
                "slices",
                "a keyed service needs at least one slice",
                "write a number from 1 to 1048576",
            );
        }
        None if service.slices > 0 => {
            report("slices", "an unkeyed service cannot have slices", "delete the line");
        }
        _ => {}
    }
    if !(1..=MAX_DEADLINE_MS).contains(&service.cap_ms) {
        report("cap_ms", "the cap is out of range", "write a number from 1 to 3600000");
    }
    if !(1..=service.cap_ms).contains(&service.deadline_ms) {
        report(
            "deadline_ms",
            "the deadline is not between 1 and cap_ms",
            "lower it or raise cap_ms",
        );
    }
    if !service.servers.values().any(|server| server.state == ServerState::Active) {
        report("", "the service has no active server", "add a section such as [server NAME]");
    }
    faults.extend(check_servers(service));
    faults
}

const PREFIX_HINT: &str = "write a path such as /reservations, without a trailing slash";

/// Returns the faults of the servers of a service, other than lost ones.
fn check_servers(service: &Service) -> Vec<Fault> {
    let mut faults = Vec::new();
    let mut addrs: BTreeMap<SocketAddr, &Name> = BTreeMap::new();
    let mut names = BTreeSet::new();
    for server in service.servers.values().filter(|server| server.state != ServerState::Lost) {
        if parse_name(&server.name).is_none() {
            faults.push(server_fault(server, "", "the name is not accepted", NAME_HINT));
        }
        if !names.insert(&server.name) {
            let hint = "give each server a unique name";
            faults.push(server_fault(server, "", "the name is used by two servers", hint));
        }
        if let Some(other) = addrs.insert(server.addr, &server.name) {
            let text = format!("the address is also used by server {other}");
            faults.push(server_fault(server, "addr", &text, "give each server its own address"));
        }
        if !(1..=MAX_SLOTS).contains(&server.slots) {
            let hint = "write a number from 1 to 10000";
            faults.push(server_fault(server, "slots", "the slots are out of range", hint));
        }
        if !(server.slots..=MAX_CONNS).contains(&server.conns) {
            let hint = "write a number from the value of slots to 100000";
            faults.push(server_fault(server, "conns", "the connections are out of range", hint));
        }
    }
    faults
}

fn service_fault(key: &str, text: &str, hint: &str) -> Fault {
    let section = Name::from("service");
    Fault { line: 0, section, key: key.into(), text: text.into(), hint: hint.into() }
}

fn server_fault(server: &Server, key: &str, text: &str, hint: &str) -> Fault {
    let section = format!("server {}", server.name).into();
    Fault { line: 0, section, key: key.into(), text: text.into(), hint: hint.into() }
}

fn unknown_section(section: &Section) -> Fault {
    Fault {
        line: section.line,
        section: section.name.clone(),
        key: Name::new(),
        text: "the section is unknown".into(),
        hint: "known sections: [service] and [server NAME]".into(),
    }
}

/// Creates the fault of a declaration without the section `service`.
fn missing_section() -> Fault {
    let hint = "add [service] with name and prefix";
    Fault {
        line: 0,
        section: Name::new(),
        key: Name::new(),
        text: "the section service is missing".into(),
        hint: hint.into(),
    }
}

/// Sets the line of a fault to that of its entry, else that of its section.
fn locate(sections: &[Section], mut fault: Fault) -> Fault {
    if let Some(section) = sections.iter().find(|section| section.name == fault.section) {
        let entry = section.entries.iter().find(|entry| entry.key == fault.key);
        fault.line = entry.map_or(section.line, |entry| entry.line);
    }
    fault
}

fn read_service(section: &Section, faults: &mut Vec<Fault>) -> Option<Service> {
    let mut reader = Reader::new(section, faults);
    let name = reader.required("name", NAME_HINT, parse_name);
    let prefix = reader.required("prefix", PREFIX_HINT, parse_prefix);
    let key = reader.required("key", "write header:NAME, path:N or none", parse_key_place);
    let default = if matches!(key, Some(Some(_))) { DEFAULT_SLICES } else { 0 };
    let slices = reader.number("slices", 0..=MAX_SLICES, default);
    let deadline_ms = reader.number("deadline_ms", 1..=MAX_DEADLINE_MS, DEFAULT_DEADLINE_MS);
    let cap_ms = reader.number("cap_ms", 1..=MAX_DEADLINE_MS, DEFAULT_CAP_MS);
    let customer = reader.optional("customer", "write the name of a header", parse_token);
    reader.close();
    Some(Service {
        name: name?,
        prefix: prefix?,
        key: key?,
        slices: slices?,
        deadline_ms: deadline_ms?,
        cap_ms: cap_ms?,
        customer: customer.unwrap_or_default(),
        shares: BTreeMap::new(),
        servers: BTreeMap::new(),
    })
}

fn read_server(section: &Section, name: &str, faults: &mut Vec<Fault>) -> Option<Server> {
    let mut reader = Reader::new(section, faults);
    let addr = reader.required("addr", "write IP:PORT, such as 10.0.0.20:9000", parse_addr);
    let domain = reader.required("domain", NAME_HINT, parse_name);
    let fenced = reader.required("fenced", "write yes or no", parse_flag);
    let slots = reader.number("slots", 1..=MAX_SLOTS, DEFAULT_SLOTS);
    let conns = reader.number("conns", 1..=MAX_CONNS, DEFAULT_CONNS);
    reader.close();
    Some(Server {
        name: name.trim().into(),
        addr: addr?,
        domain: domain?,
        fenced: fenced?,
        slots: slots?,
        conns: conns?,
        state: ServerState::Active,
    })
}

fn parse_prefix(text: &str) -> Option<Name> {
    is_prefix(text).then(|| text.into())
}

/// Returns whether `text` is a path of visible ASCII characters without a trailing slash.
fn is_prefix(text: &str) -> bool {
    let allowed = |c: char| c.is_ascii_graphic() && !"?#%".contains(c);
    text.len() > 1
        && text.starts_with('/')
        && !text.ends_with('/')
        && !text.contains("//")
        && text.chars().all(allowed)
}

/// Parses the location of the key in a request; `Some(None)` for an unkeyed service.
fn parse_key_place(text: &str) -> Option<Option<KeyPlace>> {
    match text.split_once(':') {
        None => (text == "none").then_some(None),
        Some(("header", name)) => parse_token(name).map(|name| Some(KeyPlace::Header(name))),
        Some(("path", index)) => index.parse().ok().map(|index| Some(KeyPlace::PathPart(index))),
        Some(_) => None,
    }
}

/// Parses an address that a node can connect to.
pub fn parse_addr(text: &str) -> Option<SocketAddr> {
    let addr: SocketAddr = text.parse().ok()?;
    (!addr.ip().is_unspecified() && addr.port() > 0).then_some(addr)
}
