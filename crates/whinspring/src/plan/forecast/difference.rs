//! What a plan changes, told in lines.

use {
    super::{Records, source},
    crate::{
        model::{KeyPlace, Server, Service, Step},
        name::{Name, ServerId},
        plan::change::Change,
    },
};

/// Returns a line for each thing that changes.
pub(super) fn lines(records: &Records, before: Option<&Service>, change: &Change) -> Vec<String> {
    let mut lines = match (before, &change.after) {
        (None, Some(after)) => new_service(after),
        (Some(before), Some(after)) => changed_service(before, after),
        _ => Vec::new(),
    };
    lines.extend(change.steps.iter().filter_map(|step| step_line(records, change, step)));
    lines
}

/// Describes a service that did not exist.
fn new_service(service: &Service) -> Vec<String> {
    let mut lines = vec![
        format!("new service {} at {}", service.name, service.prefix),
        format!("key: {}", place(service.key.as_ref())),
        format!("slices: {}", service.slices),
        format!("deadline_ms: {}, cap_ms: {}", service.deadline_ms, service.cap_ms),
    ];
    if !service.customer.is_empty() {
        lines.push(format!("customer: header {}", service.customer));
    }
    lines.extend(service.servers.iter().map(|(id, server)| new_server(*id, server)));
    lines
}

/// Describes what changes of a service.
fn changed_service(before: &Service, after: &Service) -> Vec<String> {
    let mut lines = Vec::new();
    let mut compare = |what: &str, old: &str, new: &str| {
        if old != new {
            lines.push(format!("{what}: {old} -> {new}"));
        }
    };
    compare("prefix", &before.prefix, &after.prefix);
    compare("customer", &before.customer, &after.customer);
    compare("deadline_ms", &before.deadline_ms.to_string(), &after.deadline_ms.to_string());
    compare("cap_ms", &before.cap_ms.to_string(), &after.cap_ms.to_string());
    for customer in customers(before, after) {
        let share = |service: &Service| service.shares.get(customer).unwrap_or(&1).to_string();
        compare(&format!("share of {customer}"), &share(before), &share(after));
    }
    for (id, server) in &after.servers {
        match before.servers.get(id) {
            None => lines.push(new_server(*id, server)),
            Some(old) => lines.extend(changed_server(*id, old, server)),
        }
    }
    lines
}

/// Returns the customers that either version of a service lists.
fn customers<'a>(before: &'a Service, after: &'a Service) -> Vec<&'a Name> {
    let mut names: Vec<_> = before.shares.keys().chain(after.shares.keys()).collect();
    names.sort();
    names.dedup();
    names
}

/// Describes a server that did not exist.
fn new_server(id: ServerId, server: &Server) -> String {
    let fenced = if server.fenced { "fenced" } else { "NOT fenced" };
    format!(
        "new server {id} {}: {}, {}, {fenced}, {} slots, {} conns",
        server.name, server.addr, server.domain, server.slots, server.conns
    )
}

/// Describes what changes of a server.
fn changed_server(id: ServerId, old: &Server, new: &Server) -> Vec<String> {
    let mut lines = Vec::new();
    let mut compare = |what: &str, old: &str, new_value: &str| {
        if old != new_value {
            lines.push(format!("server {id} {}: {what} {old} -> {new_value}", new.name));
        }
    };
    compare("state", old.state.as_str(), new.state.as_str());
    compare("domain", &old.domain, &new.domain);
    compare("fenced", flag(old.fenced), flag(new.fenced));
    compare("slots", &old.slots.to_string(), &new.slots.to_string());
    compare("conns", &old.conns.to_string(), &new.conns.to_string());
    lines
}

/// Describes a step that changes no declaration.
fn step_line(records: &Records, change: &Change, step: &Step) -> Option<String> {
    let after = change.after.as_ref();
    let from = after.and_then(|service| source(records, service, step));
    let label = |id: Option<ServerId>| match (id, after) {
        (Some(id), Some(service)) => server_label(service, id),
        _ => "nobody".into(),
    };
    match step {
        Step::MoveSlice { slice, to, .. } => {
            Some(format!("slice {}: {} -> {}", slice.0, label(from), label(Some(*to))))
        }
        Step::MoveKey { key, to, .. } => {
            Some(format!("key {key}: {} -> {}", label(from), label(Some(*to))))
        }
        Step::Clear { print } => Some(format!("request {print:016x}: no longer suspected")),
        Step::Declare(_) | Step::SetState { .. } => None,
    }
}

/// Returns number and name of a server.
fn server_label(service: &Service, id: ServerId) -> String {
    match service.servers.get(&id) {
        Some(server) => format!("{id} {}", server.name),
        None => id.to_string(),
    }
}

/// Returns where a key is, as a declaration says it.
fn place(key: Option<&KeyPlace>) -> String {
    match key {
        None => "none".into(),
        Some(KeyPlace::Header(name)) => format!("header:{name}"),
        Some(KeyPlace::PathPart(index)) => format!("path:{index}"),
    }
}

/// Returns a flag as operators write it.
fn flag(value: bool) -> &'static str {
    if value { "yes" } else { "no" }
}
