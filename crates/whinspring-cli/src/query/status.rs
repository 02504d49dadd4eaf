//! The state of a deployment according to the stored records.

use {
    super::{doctor, holders, nodes, of_kind, plans, segment},
    crate::{
        plans::is_open,
        view::{Plans, Status},
    },
    serde::Serialize,
    std::collections::BTreeMap,
    whinspring::{
        model::{NodeState, SEGMENT_SLICES, Service},
        name::ServerId,
        plan::{self, Records},
        record::{Key, Kind, Value},
    },
};

pub fn status(records: &Records) -> Status {
    let open = plans(records).filter(|plan| is_open(plan.state));
    Status {
        problems: doctor::diagnose(records).findings.len(),
        controller: controller(records),
        nodes: nodes(records)
            .map(|node| NodeRow {
                name: node.name.to_string(),
                domain: node.domain.to_string(),
                state: node_state(node.state),
                addr: node.addr.to_string(),
                holds: count_held(records, &node.name),
            })
            .collect(),
        services: plan::services(records).map(|service| service_row(records, service)).collect(),
        plans: Plans::new(open),
    }
}

/// Status of a node.
#[derive(Debug, Serialize)]
pub struct NodeRow {
    /// Name of its VM.
    pub name: String,
    pub domain: String,
    /// `live`, `leaving` or `gone`.
    pub state: &'static str,
    /// Address for other nodes.
    pub addr: String,
    /// Number of servers that it holds.
    pub holds: usize,
}

/// Status of a service.
#[derive(Debug, Serialize)]
pub struct ServiceRow {
    pub name: String,
    /// Path prefix of its requests.
    pub prefix: String,
    /// Version of its declaration.
    pub version: u64,
    /// Number of slices; zero for an unkeyed service.
    pub slices: u32,
    /// Number of slices that have an owner.
    pub owned: u32,
    pub servers: Vec<ServerRow>,
}

/// Status of a backend server.
#[derive(Debug, Serialize)]
pub struct ServerRow {
    pub id: u32,
    /// Name of its VM.
    pub name: String,
    pub domain: String,
    /// Declared or detected state, such as `active`, `draining` or `lost`.
    pub state: &'static str,
    /// Whether it checks fencing terms.
    pub fenced: bool,
    /// Node that holds it; empty if none.
    pub holder: String,
    /// Fencing term of the holder.
    pub term: u64,
    /// Number of slices that it owns.
    pub slices: u32,
    /// Number of single keys that it owns.
    pub keys: u32,
}

/// Returns the controller's node and term, or `none`.
fn controller(records: &Records) -> String {
    let record = records.get(&Key::new(Kind::Controller, "controller"));
    match record.and_then(|record| record.value.as_ref()) {
        Some(Value::Controller(controller)) => {
            format!("{} term {}", controller.node, controller.term)
        }
        _ => "none".into(),
    }
}

/// Returns the printed name of a node's state.
pub(super) fn node_state(state: NodeState) -> &'static str {
    match state {
        NodeState::Live => "live",
        NodeState::Leaving => "leaving",
        NodeState::Gone => "gone",
    }
}

/// Returns the number of servers that a node holds.
fn count_held(records: &Records, node: &str) -> usize {
    let all = of_kind(records, Kind::Holders).filter_map(|record| match &record.value {
        Some(Value::Holders(holders)) => Some(holders),
        _ => None,
    });
    all.flat_map(|holders| holders.terms.values()).filter(|holder| holder.node == node).count()
}

fn service_row(records: &Records, service: &Service) -> ServiceRow {
    let counts = OwnedCounts::of(records, service);
    let holders = holders(records, &service.name);
    let key = Key::new(Kind::Service, service.name.clone());
    let servers = service.servers.iter().map(|(id, server)| {
        let holder = holders.and_then(|holders| holders.terms.get(id));
        ServerRow {
            id: id.0,
            name: server.name.to_string(),
            domain: server.domain.to_string(),
            state: server.state.as_str(),
            fenced: server.fenced,
            holder: holder.map(|holder| holder.node.to_string()).unwrap_or_default(),
            term: holder.map_or(0, |holder| holder.term),
            slices: counts.slices.get(id).copied().unwrap_or_default(),
            keys: counts.keys.get(id).copied().unwrap_or_default(),
        }
    });
    ServiceRow {
        name: service.name.to_string(),
        prefix: service.prefix.to_string(),
        version: plan::version(records, &key),
        slices: service.slices,
        owned: counts.slices.values().sum(),
        servers: servers.collect(),
    }
}

/// Number of slices and single keys that each server of a service owns.
#[derive(Debug, Default)]
pub(super) struct OwnedCounts {
    pub slices: BTreeMap<ServerId, u32>,
    pub keys: BTreeMap<ServerId, u32>,
}

impl OwnedCounts {
    /// Returns whether a server owns any slice or key.
    pub fn owns(&self, server: ServerId) -> bool {
        self.slices.contains_key(&server) || self.keys.contains_key(&server)
    }

    /// Counts what the servers of a service own.
    pub fn of(records: &Records, service: &Service) -> Self {
        let mut counts = Self::default();
        for index in 0..service.slices.div_ceil(SEGMENT_SLICES) {
            let Some(segment) = segment(records, &service.name, index) else { continue };
            for owner in &segment.owners {
                *counts.slices.entry(owner.server).or_default() += 1;
            }
            for owner in segment.keys.values() {
                *counts.keys.entry(owner.server).or_default() += 1;
            }
        }
        counts
    }
}
