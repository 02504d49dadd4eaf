//! The controller's decisions: which node holds each server, and which server owns each slice.
//!
//! The functions here are pure: they compare the stored records with the desired state and return
//! the records to write. A change of owner takes two writes. The first names the next owner; from
//! then on the current holder starts no new requests on the slice. The second follows the holder's
//! report that it released the slice, and names the new owner at the next epoch. A release is only
//! reported after the next owner has been recorded, and is valid for one epoch, so a late write of
//! a previous controller does no harm.

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

/// What the controller knows in addition to the records.
///
/// It is not stored: holders repeat their reports, from which a new controller rebuilds it.
#[derive(Debug, Default)]
pub struct Observations {
    /// Lost servers with the term of the holder that reported the loss.
    pub lost: BTreeMap<(Name, ServerId), u64>,
    /// Servers that came back after a loss, with the time before which they get no slices.
    pub cooldowns: BTreeMap<(Name, ServerId), Tick>,
    /// Servers whose holder released them, with the term of that holder.
    pub released_servers: BTreeMap<(Name, ServerId), u64>,
    /// Released slices by service, with the epoch that was released.
    pub released_slices: BTreeMap<Name, BTreeSet<(Slice, u64)>>,
    /// Released single keys by service, with the epoch that was released.
    pub released_keys: BTreeMap<Name, BTreeSet<(Name, u64)>>,
    /// VMs that the platform reports as leaving or gone.
    pub leaving_vms: BTreeSet<Name>,
    /// Servers that announced their shutdown, with the time of the last announcement.
    pub stopping: BTreeMap<(Name, ServerId), Tick>,
    pub loads: load::Loads,
    /// Servers that answer again after an interruption. They gave up the slices that the records
    /// still assign to them, so each of their slices and keys needs a new epoch.
    pub recovered: BTreeSet<(Name, ServerId)>,
}

/// A conditional write of a record at the version known to the replica.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Write {
    pub key: Key,
    /// New content; `None` deletes the record.
    pub value: Option<Value>,
}

pub fn services(replica: &Replica) -> impl Iterator<Item = &Service> {
    replica.iter(Kind::Service).filter_map(|record| match &record.value {
        Some(Value::Service(service)) => Some(service),
        _ => None,
    })
}

pub fn service_of<'a>(replica: &'a Replica, name: &Name) -> Option<&'a Service> {
    match &replica.get(&Key::new(Kind::Service, name.clone()))?.value {
        Some(Value::Service(service)) => Some(service),
        _ => None,
    }
}

pub fn holders_of<'a>(replica: &'a Replica, service: &Name) -> Option<&'a Holders> {
    match &replica.get(&Key::new(Kind::Holders, service.clone()))?.value {
        Some(Value::Holders(holders)) => Some(holders),
        _ => None,
    }
}

pub fn segment_key(service: &Name, index: u32) -> Key {
    Key::new(Kind::Segment, format!("{service}.{index}"))
}

pub fn segment_of<'a>(replica: &'a Replica, service: &Name, index: u32) -> Option<&'a Segment> {
    match &replica.get(&segment_key(service, index))?.value {
        Some(Value::Segment(segment)) => Some(segment),
        _ => None,
    }
}
