//! Conversions of holders and owners.
//!
//! A segment is encoded as runs of equal owners in packed columns. Neighbouring slices often have
//! the same owner and epoch, and even a segment in which all owners differ stays small.

use {
    crate::{
        error::{BadFieldSnafu, Error},
        generated::record as wire,
    },
    snafu::{OptionExt, ensure},
    std::collections::BTreeMap,
    whinspring::{
        model::{Holder, Holders, Owner, SEGMENT_SLICES, Segment},
        name::{Name, ServerId},
    },
};

impl From<&Holders> for wire::Holders {
    fn from(holders: &Holders) -> Self {
        let terms = holders.terms.iter().map(|(id, holder)| (id.0, holder.into()));
        Self { terms: terms.collect() }
    }
}

impl From<wire::Holders> for Holders {
    fn from(holders: wire::Holders) -> Self {
        let terms = holders.terms.into_iter().map(|(id, holder)| (ServerId(id), holder.into()));
        Self { terms: terms.collect() }
    }
}

impl From<&Holder> for wire::Holder {
    fn from(holder: &Holder) -> Self {
        Self {
            node: holder.node.to_string(),
            incarnation: holder.incarnation,
            term: holder.term,
            next: holder.next.as_ref().map(Name::to_string),
        }
    }
}

impl From<wire::Holder> for Holder {
    fn from(holder: wire::Holder) -> Self {
        Self {
            node: holder.node.into(),
            incarnation: holder.incarnation,
            term: holder.term,
            next: holder.next.map(Name::from),
        }
    }
}

impl From<&Segment> for wire::Segment {
    fn from(segment: &Segment) -> Self {
        let base = segment.owners.iter().map(|owner| owner.epoch).min().unwrap_or_default();
        let mut columns = Self { first: segment.first, base, ..Self::default() };
        for run in segment.owners.chunk_by(|a, b| a == b) {
            columns.runs.push(run.len() as u32);
            columns.servers.push(run[0].server.0);
            columns.epochs.push(run[0].epoch - base);
            columns.next.push(run[0].next.map_or(0, |next| u64::from(next.0) + 1));
        }
        if columns.next.iter().all(|next| *next == 0) {
            columns.next.clear();
        }
        let keys = segment.keys.iter().map(|(key, owner)| (key.to_string(), owner.into()));
        columns.keys = keys.collect();
        columns
    }
}

impl TryFrom<wire::Segment> for Segment {
    type Error = Error;

    fn try_from(mut columns: wire::Segment) -> Result<Self, Error> {
        let runs = columns.runs.len();
        if columns.next.is_empty() {
            columns.next.resize(runs, 0);
        }
        ensure!(columns.servers.len() == runs, BadFieldSnafu { field: "servers" });
        ensure!(columns.epochs.len() == runs, BadFieldSnafu { field: "epochs" });
        ensure!(columns.next.len() == runs, BadFieldSnafu { field: "next" });
        let total: u64 = columns.runs.iter().map(|run| u64::from(*run)).sum();
        ensure!(total <= u64::from(SEGMENT_SLICES), BadFieldSnafu { field: "runs" });

        let mut owners = Vec::with_capacity(total as usize);
        for (index, run) in columns.runs.iter().enumerate() {
            let owner = run_owner(&columns, index)?;
            owners.extend(std::iter::repeat_n(owner, *run as usize));
        }
        Ok(Self { first: columns.first, owners, keys: key_owners(columns.keys) })
    }
}

/// Returns the owner of the run at `index`.
fn run_owner(columns: &wire::Segment, index: usize) -> Result<Owner, Error> {
    let epoch = columns.base.checked_add(columns.epochs[index]);
    let next = match columns.next[index] {
        0 => None,
        next => Some(u32::try_from(next - 1).ok().context(BadFieldSnafu { field: "next" })?),
    };
    Ok(Owner {
        server: ServerId(columns.servers[index]),
        epoch: epoch.context(BadFieldSnafu { field: "epochs" })?,
        next: next.map(ServerId),
    })
}

fn key_owners(keys: BTreeMap<String, wire::Owner>) -> BTreeMap<Name, Owner> {
    keys.into_iter().map(|(key, owner)| (key.into(), owner.into())).collect()
}

impl From<&Owner> for wire::Owner {
    fn from(owner: &Owner) -> Self {
        Self { server: owner.server.0, epoch: owner.epoch, next: owner.next.map(|next| next.0) }
    }
}

impl From<wire::Owner> for Owner {
    fn from(owner: wire::Owner) -> Self {
        Self { server: ServerId(owner.server), epoch: owner.epoch, next: owner.next.map(ServerId) }
    }
}
