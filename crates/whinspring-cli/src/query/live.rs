//! Diagnosis of the state that nodes report themselves, compared with the stored records.

use {
    super::{
        doctor::{Finding, Severity},
        status::OwnedCounts,
    },
    crate::node::{HeldServer, NodeStatus},
    std::net::SocketAddr,
    whinspring::{
        model::ServerState,
        name::ServerId,
        plan::{self, Records},
        record::{Key, Kind},
    },
};

/// Admin address of a node and the status it reported; `None` if it gave no valid response.
pub type NodeAnswer = (SocketAddr, Option<NodeStatus>);

/// Returns the problems that the status of nodes shows.
pub fn diagnose_nodes(records: &Records, answers: &[NodeAnswer]) -> Vec<Finding> {
    let mut findings = Vec::new();
    for (addr, status) in answers {
        match status {
            None => findings.push(no_answer(*addr)),
            Some(status) => {
                findings.extend(check_node(status));
                findings.extend(check_versions(records, status));
                let held = status.held.iter().filter(|held| !held.up);
                findings.extend(held.filter_map(|held| check_server(records, status, held)));
            }
        }
    }
    findings
}

/// Describes a node that gave no valid response.
fn no_answer(addr: SocketAddr) -> Finding {
    let remedy = "start whinspringd there; if its VM is gone, leave it out of --node";
    Finding {
        severity: Severity::AtRisk,
        text: format!("no answer from the admin port {addr}"),
        remedy: remedy.into(),
    }
}

/// Checks that a node is ready and has a lease.
fn check_node(status: &NodeStatus) -> Option<Finding> {
    if status.leaving {
        return None;
    }
    let (text, remedy) = if !status.ready {
        ("has not loaded the records", "check `platform` and `peers` in its settings")
    } else if !status.leased {
        ("has no lease and sends to no server", "check the network between it and other nodes")
    } else {
        return None;
    };
    let text = format!("node {} {text}", status.node);
    Some(Finding { severity: Severity::AtRisk, text, remedy: remedy.into() })
}

/// Checks that a node has the latest declaration of each service.
fn check_versions(records: &Records, status: &NodeStatus) -> Vec<Finding> {
    let mut findings = Vec::new();
    for service in plan::services(records) {
        let now = plan::version(records, &Key::new(Kind::Service, service.name.clone()));
        let known = status.services.iter().find(|known| known.name == service.name.as_str());
        let known = known.map_or(0, |known| known.version);
        if known < now {
            let (node, name) = (&status.node, &service.name);
            findings.push(Finding {
                severity: Severity::AtRisk,
                text: format!("node {node} has {name} at version {known}, the platform at {now}"),
                remedy: "it catches up within seconds; if it lasts, check its network".into(),
            });
        }
    }
    findings
}

/// Describes an active server that does not respond to its holder.
fn check_server(records: &Records, status: &NodeStatus, held: &HeldServer) -> Option<Finding> {
    let service = plan::service(records, &held.service)?;
    let id = ServerId(held.server);
    let server = service.servers.get(&id).filter(|found| found.state == ServerState::Active)?;
    let text =
        format!("{}: {id} {} does not respond to node {}", held.service, server.name, status.node);
    let remedy =
        format!("restart it, or whinspring server replace {} {} ...", held.service, server.name);
    let idle = service.slices > 0 && !OwnedCounts::of(records, service).owns(id);
    let severity = if idle { Severity::AtRisk } else { Severity::Refused };
    Some(Finding { severity, text, remedy })
}
