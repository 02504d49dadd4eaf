//! Computes the steps that carry out an intent.

use {
    super::{
        Records,
        error::{
            BadServiceSnafu, Error, ImmutableSnafu, InUseSnafu, LastServerSnafu, NoChangeSnafu,
            NoServerSnafu, NoServiceSnafu, NoSliceSnafu, NoSuspectSnafu, NotActiveSnafu,
            ServerExistsSnafu,
        },
        intent::Intent,
        service, services, version,
    },
    crate::{
        declaration,
        model::{Owner, SEGMENT_SLICES, Segment, Server, ServerState, Service, Step},
        name::{Name, ServerId, Slice, slice_of},
        record::{Key, Kind, Value},
    },
    snafu::{OptionExt, ensure},
    std::collections::BTreeMap,
};

/// Effect of an intent.
#[derive(Debug)]
pub(super) struct Change {
    /// Service after the change; `None` if the intent concerns no service.
    pub after: Option<Service>,
    pub steps: Vec<Step>,
    /// Record versions that the steps depend on, by `kind/name`.
    pub base: BTreeMap<Name, u64>,
}

impl Change {
    pub fn compute(records: &Records, intent: &Intent) -> Result<Self, Error> {
        match intent {
            Intent::Declare(wanted) => {
                let after = match service(records, &wanted.name) {
                    Some(before) => merge(before, wanted)?,
                    None => wanted.as_ref().clone(),
                };
                declare(records, after)
            }
            Intent::Add { service, server } => {
                let mut after = find_service(records, service)?.clone();
                add_server(&mut after, server)?;
                declare(records, after)
            }
            Intent::SetState { service, server, state } => {
                set_state(records, service, server, *state)
            }
            Intent::Replace { service, old, new } => {
                let mut after = find_service(records, service)?.clone();
                find_server_mut(&mut after, old)?.state = ServerState::Draining;
                add_server(&mut after, new)?;
                declare(records, after)
            }
            Intent::SetFenced { service, server, fenced } => {
                let mut after = find_service(records, service)?.clone();
                find_server_mut(&mut after, server)?.fenced = *fenced;
                declare(records, after)
            }
            Intent::MoveSlices { service, slices, to } => move_slices(records, service, slices, to),
            Intent::MoveKeys { service, keys, to } => move_keys(records, service, keys, to),
            Intent::Share { service, customer, share } => {
                let mut after = find_service(records, service)?.clone();
                set_share(&mut after, customer, *share);
                declare(records, after)
            }
            Intent::ClearSuspect { print } => clear_suspect(records, *print),
        }
    }
}

/// Replaces the whole declaration of a service.
fn declare(records: &Records, after: Service) -> Result<Change, Error> {
    let before = service(records, &after.name);
    ensure!(before != Some(&after), NoChangeSnafu);
    ensure!(has_active(&after), LastServerSnafu { service: after.name });
    let faults = declaration::check(&after);
    ensure!(faults.is_empty(), BadServiceSnafu { faults });
    check_unique(records, &after)?;

    let base = base_versions(records, [Key::new(Kind::Service, after.name.clone())]);
    let steps = vec![Step::Declare(Box::new(after.clone()))];
    Ok(Change { after: Some(after), steps, base })
}

/// Merges a new declaration into the current one.
///
/// Servers keep their ids and customers their shares. Servers that the new declaration omits are
/// drained.
fn merge(before: &Service, wanted: &Service) -> Result<Service, Error> {
    let name = &before.name;
    let hint = "declare a service of another name and move its callers";
    ensure!(before.slices == wanted.slices, ImmutableSnafu { service: name, what: "slices", hint });
    ensure!(before.key == wanted.key, ImmutableSnafu { service: name, what: "key", hint });

    let mut after = wanted.clone();
    after.shares = before.shares.clone();
    after.servers = before.servers.clone();
    for server in after.servers.values_mut() {
        let listed = wanted.servers.values().any(|wanted| wanted.name == server.name);
        if !listed && server.state == ServerState::Active {
            server.state = ServerState::Draining;
        }
    }
    for server in wanted.servers.values() {
        let Ok(old) = find_server_mut(&mut after, &server.name) else {
            add_server(&mut after, server)?;
            continue;
        };
        if old.addr != server.addr {
            let what = format!("addr of server {}", server.name);
            let hint = "add the server under another name and drain this one";
            return ImmutableSnafu { service: name, what, hint }.fail();
        }
        *old = Server { state: old.state, ..server.clone() };
    }
    Ok(after)
}

/// Adds a server under a new id, above all existing ones.
fn add_server(service: &mut Service, server: &Server) -> Result<(), Error> {
    let exists = find_server(service, &server.name).is_ok();
    ensure!(!exists, ServerExistsSnafu { service: &service.name, server: &server.name });
    let next = service.servers.keys().next_back().map_or(0, |last| last.0 + 1);
    service.servers.insert(ServerId(next), server.clone());
    Ok(())
}

/// Sets a customer's share; the default of 1 is not stored.
fn set_share(service: &mut Service, customer: &Name, share: u32) {
    if share == 1 {
        service.shares.remove(customer);
    } else {
        service.shares.insert(customer.clone(), share);
    }
}

/// Sets the state of a server.
fn set_state(
    records: &Records,
    name: &Name,
    server: &Name,
    state: ServerState,
) -> Result<Change, Error> {
    let mut after = find_service(records, name)?.clone();
    let (id, found) = find_server(&after, server)?;
    ensure!(found.state != state, NoChangeSnafu);
    after.servers.entry(id).and_modify(|server| server.state = state);
    ensure!(has_active(&after), LastServerSnafu { service: name });

    let steps = vec![Step::SetState { service: name.clone(), server: id, state }];
    let base = base_versions(records, [Key::new(Kind::Service, name.clone())]);
    Ok(Change { after: Some(after), steps, base })
}

fn move_slices(
    records: &Records,
    name: &Name,
    slices: &[Slice],
    to: &Name,
) -> Result<Change, Error> {
    let found = find_service(records, name)?;
    let to = find_active(found, to)?;
    let mut steps = Vec::new();
    let mut keys = vec![Key::new(Kind::Service, name.clone())];
    for slice in slices {
        let owner = slice_owner(records, name, *slice);
        let owner =
            owner.context(NoSliceSnafu { service: name, slice: *slice, slices: found.slices })?;
        if owner.next.unwrap_or(owner.server) != to {
            steps.push(Step::MoveSlice { service: name.clone(), slice: *slice, to });
            keys.push(segment_key(name, *slice));
        }
    }
    ensure!(!steps.is_empty(), NoChangeSnafu);
    Ok(Change { after: Some(found.clone()), steps, base: base_versions(records, keys) })
}

fn move_keys(records: &Records, name: &Name, moved: &[Name], to: &Name) -> Result<Change, Error> {
    let found = find_service(records, name)?;
    let to = find_active(found, to)?;
    let mut steps = Vec::new();
    let mut keys = vec![Key::new(Kind::Service, name.clone())];
    for key in moved {
        let hint = "only the slices of a keyed service have owners";
        ensure!(found.slices > 0, ImmutableSnafu { service: name, what: "the owners", hint });
        let slice = slice_of(key, found.slices);
        let owner = key_owner(records, name, key, slice);
        let owner = owner.context(NoSliceSnafu { service: name, slice, slices: found.slices })?;
        if owner.next.unwrap_or(owner.server) != to {
            steps.push(Step::MoveKey { service: name.clone(), key: key.clone(), to });
            keys.push(segment_key(name, slice));
        }
    }
    ensure!(!steps.is_empty(), NoChangeSnafu);
    Ok(Change { after: Some(found.clone()), steps, base: base_versions(records, keys) })
}

fn clear_suspect(records: &Records, print: u64) -> Result<Change, Error> {
    let key = suspect_key(print);
    let suspect = match records.get(&key).and_then(|record| record.value.as_ref()) {
        Some(Value::Suspect(suspect)) => suspect,
        _ => return NoSuspectSnafu { print }.fail(),
    };
    ensure!(!suspect.cleared, NoChangeSnafu);
    let base = base_versions(records, [key]);
    Ok(Change { after: None, steps: vec![Step::Clear { print }], base })
}

fn suspect_key(print: u64) -> Key {
    Key::new(Kind::Suspect, format!("{print:016x}"))
}

/// Returns the key of the segment that contains a slice.
pub(super) fn segment_key(service: &str, slice: Slice) -> Key {
    Key::segment(service, slice.0 / SEGMENT_SLICES)
}

fn base_versions(records: &Records, keys: impl IntoIterator<Item = Key>) -> BTreeMap<Name, u64> {
    keys.into_iter().map(|key| (key.to_string().into(), version(records, &key))).collect()
}

/// Returns the segment that contains a slice.
fn segment<'a>(records: &'a Records, service: &str, slice: Slice) -> Option<&'a Segment> {
    match &records.get(&segment_key(service, slice))?.value {
        Some(Value::Segment(segment)) => Some(segment),
        _ => None,
    }
}

pub(super) fn slice_owner<'a>(
    records: &'a Records,
    service: &str,
    slice: Slice,
) -> Option<&'a Owner> {
    segment(records, service, slice)?.owner(slice)
}

/// Returns the owner of a key: that of the single key if it is one, else that of its slice.
pub(super) fn key_owner<'a>(
    records: &'a Records,
    service: &str,
    key: &Name,
    slice: Slice,
) -> Option<&'a Owner> {
    let segment = segment(records, service, slice)?;
    segment.keys.get(key).or_else(|| segment.owner(slice))
}

fn find_service<'a>(records: &'a Records, name: &Name) -> Result<&'a Service, Error> {
    service(records, name).context(NoServiceSnafu { service: name })
}

/// Returns the server `name`: the latest one if the name was used before.
fn find_server<'a>(service: &'a Service, name: &Name) -> Result<(ServerId, &'a Server), Error> {
    let mut servers = service.servers.iter().rev().filter(|(_, server)| server.name == *name);
    let (id, server) =
        servers.next().context(NoServerSnafu { service: &service.name, server: name })?;
    Ok((*id, server))
}

fn find_server_mut<'a>(service: &'a mut Service, name: &Name) -> Result<&'a mut Server, Error> {
    let missing = NoServerSnafu { service: &service.name.clone(), server: name };
    let mut servers = service.servers.values_mut().rev();
    servers.find(|server| server.name == *name).context(missing)
}

/// Returns the id of the server `name`, which has to be active.
fn find_active(service: &Service, name: &Name) -> Result<ServerId, Error> {
    let (id, server) = find_server(service, name)?;
    ensure!(server.state == ServerState::Active, NotActiveSnafu { server: name });
    Ok(id)
}

fn has_active(service: &Service) -> bool {
    service.servers.values().any(|server| server.state == ServerState::Active)
}

/// Checks that no other service uses the prefix or the address of a server.
fn check_unique(records: &Records, after: &Service) -> Result<(), Error> {
    for other in services(records).filter(|other| other.name != after.name) {
        let what = format!("prefix {}", after.prefix);
        ensure!(other.prefix != after.prefix, InUseSnafu { what, other: &other.name });
        for server in after.servers.values() {
            let what = format!("address {}", server.addr);
            let taken = other.servers.values().any(|theirs| theirs.addr == server.addr);
            ensure!(!taken, InUseSnafu { what, other: &other.name });
        }
    }
    Ok(())
}
