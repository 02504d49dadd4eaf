//! Sizes of records and tables by number of servers and slices.

use {
    super::fit::Line,
    serde_json::{Value as Json, json},
    std::{
        collections::BTreeMap,
        time::{Duration, Instant},
    },
    whinspring::{
        model::{Holder, Holders, Owner, SEGMENT_SLICES, Segment},
        name::ServerId,
        record::{Key, Kind, Record, Value},
        replica::Replica,
        view::View,
    },
    whinspring_wire::record::encode,
};

/// Number of slices of each table.
const SLICES: [u32; 4] = [4_096, 16_384, 65_536, 262_144];

/// Number of servers of each holders record.
const SERVERS: [u32; 4] = [100, 300, 900, 2_700];

/// Number of servers over which the slices are spread.
const OWNERS: u32 = 1_300;

/// Fits by number of slices and servers.
#[derive(Debug)]
pub struct Tables {
    /// Encoded bytes of all segments by number of slices.
    pub slice_bytes: Option<Line>,
    /// Encoded bytes of a holders record by number of servers.
    pub holder_bytes: Option<Line>,
    /// Time to apply all segments, in microseconds, by number of slices.
    pub apply_us: Option<Line>,
    /// Encoded bytes of the largest segment.
    pub segment_max: usize,
}

impl Tables {
    pub fn to_json(&self) -> Json {
        json!({
            "slice_bytes": self.slice_bytes,
            "holder_bytes": self.holder_bytes,
            "apply_us": self.apply_us,
            "segment_max": self.segment_max,
        })
    }
}

/// Measures records and tables of several sizes.
pub fn measure() -> Tables {
    let mut bytes = Vec::new();
    let mut times = Vec::new();
    let mut segment_max = 0;
    for slices in SLICES {
        let records = segments(slices);
        let sizes = records.iter().filter_map(|record| record.value.as_ref());
        let sizes: Vec<usize> = sizes.map(|value| encode(value).len()).collect();
        segment_max = segment_max.max(sizes.iter().copied().max().unwrap_or_default());
        bytes.push((f64::from(slices), sizes.iter().sum::<usize>() as f64));
        times.push((f64::from(slices), apply(records).as_secs_f64() * 1e6));
    }
    let holders =
        SERVERS.map(|servers| (f64::from(servers), encode(&holders(servers)).len() as f64));
    Tables {
        slice_bytes: Line::fit(&bytes),
        holder_bytes: Line::fit(&holders),
        apply_us: Line::fit(&times),
        segment_max,
    }
}

/// Applies records to a replica and a view; returns the time taken.
fn apply(records: Vec<Record>) -> Duration {
    let mut replica = Replica::default();
    let view = View::new("entry".into(), 1);
    let start = Instant::now();
    let seen = records.len() as u64;
    let keys = replica.apply(0, seen, records);
    let view = view.with_records(keys.iter().filter_map(|key| replica.get(key)));
    let time = start.elapsed();
    assert!(view.is_empty(), "no service is declared");
    time
}

/// Returns the segment records of a service whose slices are spread over [`OWNERS`] servers.
fn segments(slices: u32) -> Vec<Record> {
    let starts = (0..slices).step_by(SEGMENT_SLICES as usize);
    let segments = starts.enumerate().map(|(index, first)| {
        let last = slices.min(first + SEGMENT_SLICES);
        let owners = (first..last).map(|slice| Owner {
            server: ServerId(slice.wrapping_mul(2_654_435_761) % OWNERS),
            epoch: 1,
            next: None,
        });
        let segment = Segment { first, owners: owners.collect(), keys: BTreeMap::new() };
        Record {
            key: Key::new(Kind::Segment, format!("checks.{index}")),
            version: index as u64 + 1,
            mark: 0,
            value: Some(Value::Segment(segment)),
        }
    });
    segments.collect()
}

/// Returns a holders record for a number of servers.
fn holders(servers: u32) -> Value {
    let holder = |id: u32| Holder {
        node: format!("entry-{id}").into(),
        incarnation: u64::MAX / u64::from(id + 1),
        term: 1,
        next: None,
    };
    let terms = (0..servers).map(|id| (ServerId(id), holder(id)));
    Value::Holders(Holders { terms: terms.collect() })
}
