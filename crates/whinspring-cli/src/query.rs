//! Queries on the stored records: status, owners and problems.

mod doctor;
mod live;
mod owners;
mod status;

pub use {
    doctor::{Finding, Severity, diagnose},
    live::{NodeAnswer, diagnose_nodes},
    owners::{OwnerRow, owners},
    status::{NodeRow, ServerRow, ServiceRow, status},
};

use whinspring::{
    model::{Holders, Node, NodeState, Plan, Segment, Suspect},
    name::Name,
    plan::Records,
    record::{Key, Kind, Record, Value},
};

/// Returns the existing records of a kind.
fn of_kind(records: &Records, kind: Kind) -> impl Iterator<Item = &Record> {
    records.values().filter(move |record| record.key.kind == kind && record.value.is_some())
}

pub fn plans(records: &Records) -> impl Iterator<Item = &Plan> {
    of_kind(records, Kind::Plan).filter_map(|record| match &record.value {
        Some(Value::Plan(plan)) => Some(plan),
        _ => None,
    })
}

fn nodes(records: &Records) -> impl Iterator<Item = &Node> {
    of_kind(records, Kind::Node).filter_map(|record| match &record.value {
        Some(Value::Node(node)) => Some(node),
        _ => None,
    })
}

/// Server crashes after which the request that caused them is refused.
const REJECT_CRASHES: u32 = 2;

/// Returns the requests that are refused because they crash servers.
fn suspects(records: &Records) -> impl Iterator<Item = &Suspect> {
    of_kind(records, Kind::Suspect).filter_map(|record| match &record.value {
        Some(Value::Suspect(suspect)) if !suspect.cleared && suspect.deaths >= REJECT_CRASHES => {
            Some(suspect)
        }
        _ => None,
    })
}

fn holders<'a>(records: &'a Records, service: &str) -> Option<&'a Holders> {
    match &records.get(&Key::new(Kind::Holders, service))?.value {
        Some(Value::Holders(holders)) => Some(holders),
        _ => None,
    }
}

fn segment<'a>(records: &'a Records, service: &str, index: u32) -> Option<&'a Segment> {
    match &records.get(&Key::segment(service, index))?.value {
        Some(Value::Segment(segment)) => Some(segment),
        _ => None,
    }
}

/// Returns whether this incarnation of the node is running, even if it is leaving.
fn is_live(records: &Records, name: &Name, incarnation: u64) -> bool {
    let node = nodes(records).find(|node| node.name == *name);
    node.is_some_and(|node| node.incarnation == incarnation && node.state != NodeState::Gone)
}
