//! Describes the changes of a plan as lines of text.

use {
    super::{Records, source_server},
    crate::{
        model::{KeyPlace, Server, Service, Step},
        name::{Name, ServerId},
        plan::change::Change,
    },
};

/// Returns one line for each change.
pub(super) fn describe_change(
    records: &Records,
    before: Option<&Service>,
    change: &Change,
) -> Vec<String> {
    let mut lines = match (before, &change.after) {
        (None, Some(after)) => describe_new_service(after),
        (Some(before), Some(after)) => describe_service_change(before, after),
        _ => Vec::new(),
    };
    lines.extend(change.steps.iter().filter_map(|step| describe_step(records, change, step)));
    lines
}

fn describe_new_service(service: &Service) -> Vec<String> {
    let mut lines = vec![
        format!("new service {} at {}", service.name, service.prefix),
        format!("key: {}", format_key(service.key.as_ref())),
        format!("slices: {}", service.slices),
        format!("deadline_ms: {}, cap_ms: {}", service.deadline_ms, service.cap_ms),
    ];
    if !service.customer.is_empty() {
        lines.push(format!("customer: header {}", service.customer));
    }
    lines.extend(service.servers.iter().map(|(id, server)| describe_new_server(*id, server)));
    lines
}

/// Describes the differences between two versions of a service.
fn describe_service_change(before: &Service, after: &Service) -> Vec<String> {
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
    for customer in listed_customers(before, after) {
        let share = |service: &Service| service.shares.get(customer).unwrap_or(&1).to_string();
        compare(&format!("share of {customer}"), &share(before), &share(after));
    }
    for (id, server) in &after.servers {
        match before.servers.get(id) {
            None => lines.push(describe_new_server(*id, server)),
            Some(old) => lines.extend(describe_server_change(*id, old, server)),
        }
    }
    lines
}

/// Returns the customers with a share in either version of a service.
fn listed_customers<'a>(before: &'a Service, after: &'a Service) -> Vec<&'a Name> {
    let mut names: Vec<_> = before.shares.keys().chain(after.shares.keys()).collect();
    names.sort();
    names.dedup();
    names
}

fn describe_new_server(id: ServerId, server: &Server) -> String {
    let fenced = if server.fenced { "fenced" } else { "NOT fenced" };
    format!(
        "new server {id} {}: {}, {}, {fenced}, {} slots, {} conns",
        server.name, server.addr, server.domain, server.slots, server.conns
    )
}

/// Describes the differences between two versions of a server.
fn describe_server_change(id: ServerId, old: &Server, new: &Server) -> Vec<String> {
    let mut lines = Vec::new();
    let mut compare = |what: &str, old: &str, new_value: &str| {
        if old != new_value {
            lines.push(format!("server {id} {}: {what} {old} -> {new_value}", new.name));
        }
    };
    compare("state", old.state.as_str(), new.state.as_str());
    compare("domain", &old.domain, &new.domain);
    compare("fenced", format_flag(old.fenced), format_flag(new.fenced));
    compare("slots", &old.slots.to_string(), &new.slots.to_string());
    compare("conns", &old.conns.to_string(), &new.conns.to_string());
    lines
}

/// Describes a step; `None` if it changes the declaration, which is compared as a whole.
fn describe_step(records: &Records, change: &Change, step: &Step) -> Option<String> {
    let after = change.after.as_ref();
    let from = after.and_then(|service| source_server(records, service, step));
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

/// Returns the id and name of a server.
fn server_label(service: &Service, id: ServerId) -> String {
    match service.servers.get(&id) {
        Some(server) => format!("{id} {}", server.name),
        None => id.to_string(),
    }
}

/// Formats the location of the key as in a declaration.
fn format_key(key: Option<&KeyPlace>) -> String {
    match key {
        None => "none".into(),
        Some(KeyPlace::Header(name)) => format!("header:{name}"),
        Some(KeyPlace::PathPart(index)) => format!("path:{index}"),
    }
}

fn format_flag(value: bool) -> &'static str {
    if value { "yes" } else { "no" }
}
