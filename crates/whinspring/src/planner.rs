//! The controller's decisions: who holds each server, and which server owns each slice.
//!
//! The functions here are pure: they compare the records with what they should be and return the
//! records to be written. A change of owner takes two writes. The first names the next owner, from
//! which on the present holder starts no more work on the slice; the second, after the holder has
//! reported the release, names the new owner at the next epoch. Since a release follows a recorded
//! intent and lasts for its epoch, a late write of a former controller does no harm.

use {
    crate::{
        model::{Holders, Segment, Service},
        name::{Name, ServerId, Slice},
        record::{Key, Kind, Value},
        replica::Replica,
        time::Tick,
    },
    std::collections::{BTreeMap, BTreeSet},
};

pub mod holders;
pub mod load;
pub mod plans;
pub mod rebalance;
pub mod retention;
pub mod segments;

/// What the controller knows beside the records; a new controller learns it from repeated reports.
#[derive(Debug, Default)]
pub struct Observations {
    /// Lost servers with the term of the holder that reported.
    pub lost: BTreeMap<(Name, ServerId), u64>,
    /// Servers that get no slices before a point in time: they came back after a loss.
    pub cooldowns: BTreeMap<(Name, ServerId), Tick>,
    /// Released servers with the term released.
    pub released_servers: BTreeMap<(Name, ServerId), u64>,
    /// Released slices by service, with the epoch released.
    pub released_slices: BTreeMap<Name, BTreeSet<(Slice, u64)>>,
    /// Released single keys by service, with the epoch released.
    pub released_keys: BTreeMap<Name, BTreeSet<(Name, u64)>>,
    /// VMs that the platform says are leaving or gone.
    pub leaving_vms: BTreeSet<Name>,
    /// Servers that announced their own stop, with when that was last said.
    pub stopping: BTreeMap<(Name, ServerId), Tick>,
    /// Measured load of the servers.
    pub loads: load::Loads,
    /// Servers that answer again and have given up the slices that they still own.
    pub recovered: BTreeSet<(Name, ServerId)>,
}

/// A record to be written at the version known to the replica.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Write {
    /// Record to write.
    pub key: Key,
    /// Its content; `None` deletes.
    pub value: Option<Value>,
}

/// Returns every service.
pub fn services(replica: &Replica) -> impl Iterator<Item = &Service> {
    replica.iter(Kind::Service).filter_map(|record| match &record.value {
        Some(Value::Service(service)) => Some(service),
        _ => None,
    })
}

/// Returns the service of this name.
pub fn service_of<'a>(replica: &'a Replica, name: &Name) -> Option<&'a Service> {
    match &replica.get(&Key::new(Kind::Service, name.clone()))?.value {
        Some(Value::Service(service)) => Some(service),
        _ => None,
    }
}

/// Returns the holders of a service's servers.
pub fn holders_of<'a>(replica: &'a Replica, service: &Name) -> Option<&'a Holders> {
    match &replica.get(&Key::new(Kind::Holders, service.clone()))?.value {
        Some(Value::Holders(holders)) => Some(holders),
        _ => None,
    }
}

/// Returns the key of a segment.
pub fn segment_key(service: &Name, index: u32) -> Key {
    Key::new(Kind::Segment, format!("{service}.{index}"))
}

/// Returns a segment.
pub fn segment_of<'a>(replica: &'a Replica, service: &Name, index: u32) -> Option<&'a Segment> {
    match &replica.get(&segment_key(service, index))?.value {
        Some(Value::Segment(segment)) => Some(segment),
        _ => None,
    }
}
