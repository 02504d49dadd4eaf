//! Lookup of a key's owners.

use {
    super::{holders, segment},
    crate::view::Owners,
    serde::Serialize,
    whinspring::{
        model::{Owner, SEGMENT_SLICES, Service},
        name::{Slice, slice_of},
        plan::{self, Error, Records},
    },
};

/// Returns the owner of a key in one service, or in every keyed service.
///
/// # Errors
///
/// Fails if the service is not declared.
pub fn owners(records: &Records, key: &str, service: Option<&str>) -> Result<Owners, Error> {
    if let Some(name) = service
        && plan::service(records, name).is_none()
    {
        return Err(Error::NoService { service: name.into() });
    }
    let selected =
        |found: &&Service| found.slices > 0 && service.is_none_or(|name| found.name == name);
    let rows =
        plan::services(records).filter(selected).map(|service| owner_row(records, service, key));
    Ok(Owners { key: key.into(), owners: rows.collect() })
}

/// The owner of a key in one service.
#[derive(Debug, Serialize)]
pub struct OwnerRow {
    pub service: String,
    pub slice: u32,
    /// Whether the key is assigned individually rather than with its slice.
    pub single: bool,
    /// Number and name of the owning server; empty if none.
    pub server: String,
    /// Epoch of the ownership.
    pub epoch: u64,
    /// Number and name of the server that the key is moving to; empty if none.
    pub next: String,
    /// Node that holds the server; empty if none.
    pub holder: String,
}

fn owner_row(records: &Records, service: &Service, key: &str) -> OwnerRow {
    let slice = slice_of(key, service.slices);
    let (owner, single) = find_owner(records, service, key, slice);
    let holders = holders(records, &service.name);
    let holder = owner.zip(holders).and_then(|(owner, holders)| holders.terms.get(&owner.server));
    let label = |id| match service.servers.get(&id) {
        Some(server) => format!("{id} {}", server.name),
        None => id.to_string(),
    };
    OwnerRow {
        service: service.name.to_string(),
        slice: slice.0,
        single,
        server: owner.map(|owner| label(owner.server)).unwrap_or_default(),
        epoch: owner.map_or(0, |owner| owner.epoch),
        next: owner.and_then(|owner| owner.next).map(label).unwrap_or_default(),
        holder: holder.map(|holder| holder.node.to_string()).unwrap_or_default(),
    }
}

/// Returns the owner of a key, and whether the key is assigned individually.
fn find_owner<'a>(
    records: &'a Records,
    service: &Service,
    key: &str,
    slice: Slice,
) -> (Option<&'a Owner>, bool) {
    let Some(segment) = segment(records, &service.name, slice.0 / SEGMENT_SLICES) else {
        return (None, false);
    };
    match segment.keys.get(key) {
        Some(owner) => (Some(owner), true),
        None => (segment.owner(slice), false),
    }
}
