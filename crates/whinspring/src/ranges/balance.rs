//! Which keys change hands so that no server is much busier than the others.
//!
//! Load pattern: a few neighbouring keys get a large part of the requests, and other keys take
//! their place every few seconds. Short runs of busy keys move from the busiest server to the
//! idlest one until they are about equal; keys at rest stay where they are, because a change of
//! hands costs a warm-up in proportion to its keys.

use {
    super::{Instance, Ownership},
    std::collections::{BTreeMap, HashMap},
};

/// Moves in one round at most, among few servers.
const MIN_MOVE_LIMIT: usize = 12;

/// The same among many, as a divisor of their number: load that has shifted must be spread over
/// as large a part of them within as many rounds.
const MOVE_LIMIT_DIVISOR: usize = 3;

/// Difference of utilization below which nothing moves.
const TOLERANCE: f64 = 0.12;

/// Spans for each server above which only the largest differences are worth a further split.
const MAX_SPANS_PER_SERVER: usize = 6;

/// Difference that is worth a move above [`MAX_SPANS_PER_SERVER`].
const FRAGMENTED_TOLERANCE: f64 = 0.4;

/// Utilization up to which one move fills a server: a hot range goes to several at once, and none of
/// them is overloaded in turn.
const TARGET_UTILIZATION: f64 = 0.9;

/// Utilization that must be left below [`TARGET_UTILIZATION`]; where all servers are busy, differences are halved.
const MIN_HEADROOM: f64 = 0.2;

/// Capacity that is assumed of the slowest server.
const MIN_CAPACITY: f64 = 0.01;

/// A server that can own keys.
#[derive(Debug, Clone)]
pub struct Candidate {
    /// The server.
    pub instance: Instance,
    /// Work per second that it can do, relative to the others.
    pub capacity: f64,
    /// Whether it must give its keys away.
    pub leaving: bool,
}

/// A run of keys that changes hands.
#[derive(Debug, Clone, PartialEq)]
pub struct Move {
    /// First key.
    pub first: u16,
    /// Last key.
    pub last: u16,
    /// The next owner.
    pub to: Instance,
}

/// Load of each key in recent time, in work per second.
pub type KeyLoads = BTreeMap<u16, f64>;

/// Returns what should move now.
///
/// `base` is the load assumed of each key beside what was measured.
pub fn plan_moves(
    owned: &Ownership,
    servers: &[Candidate],
    loads: &KeyLoads,
    base: f64,
) -> Vec<Move> {
    let mut moves = Vec::new();
    let mut draft = owned.clone();
    let remaining: Vec<&Candidate> = servers.iter().filter(|server| !server.leaving).collect();
    if remaining.is_empty() {
        return moves;
    }
    let mut server_loads: HashMap<Instance, f64> =
        remaining.iter().map(|s| (s.instance.clone(), 0.0)).collect();
    for span in &draft.spans {
        if let Some(load) = server_loads.get_mut(&span.owner) {
            *load += range_load(loads, base, span.first, span.last);
        }
    }
    evacuate(&mut draft, &remaining, &mut server_loads, loads, base, &mut moves);
    for _ in 0..MIN_MOVE_LIMIT.max(remaining.len() / MOVE_LIMIT_DIVISOR) {
        let Some(planned) = next_move(&draft, &remaining, &server_loads, loads, base) else {
            break;
        };
        apply(&mut draft, &mut server_loads, loads, base, &planned);
        moves.push(planned);
    }
    moves
}

/// Returns the load for its capacity of each server that stays, in ascending order.
pub fn utilizations(
    owned: &Ownership,
    servers: &[Candidate],
    loads: &KeyLoads,
    base: f64,
) -> Vec<f64> {
    let remaining = servers.iter().filter(|server| !server.leaving);
    let utilization_of = |server: &Candidate| {
        let own = owned.spans.iter().filter(|span| span.owner == server.instance);
        let load: f64 = own.map(|span| range_load(loads, base, span.first, span.last)).sum();
        load / server.capacity.max(MIN_CAPACITY)
    };
    let mut sorted: Vec<f64> = remaining.map(utilization_of).collect();
    sorted.sort_by(f64::total_cmp);
    sorted
}

/// Gives away the keys of servers that leave or are gone.
fn evacuate(
    draft: &mut Ownership,
    remaining: &[&Candidate],
    server_loads: &mut HashMap<Instance, f64>,
    loads: &KeyLoads,
    base: f64,
    moves: &mut Vec<Move>,
) {
    for span in draft.spans.clone() {
        if span.former.is_some() || server_loads.contains_key(&span.owner) {
            continue;
        }
        let Some(to) = least_utilized(remaining, server_loads) else { return };
        let planned = Move { first: span.first, last: span.last, to: to.instance.clone() };
        apply(draft, server_loads, loads, base, &planned);
        moves.push(planned);
    }
}

/// Carries a move out on the draft.
fn apply(
    draft: &mut Ownership,
    server_loads: &mut HashMap<Instance, f64>,
    loads: &KeyLoads,
    base: f64,
    planned: &Move,
) {
    let load = range_load(loads, base, planned.first, planned.last);
    for index in draft.split_range(planned.first, planned.last) {
        let span = &mut draft.spans[index];
        if let Some(from) = server_loads.get_mut(&span.owner) {
            *from -= load;
        }
        span.former = Some(std::mem::replace(&mut span.owner, planned.to.clone()));
    }
    *server_loads.entry(planned.to.clone()).or_default() += load;
}

/// Returns the server with the least load for its capacity.
fn least_utilized<'a>(
    remaining: &[&'a Candidate],
    server_loads: &HashMap<Instance, f64>,
) -> Option<&'a Candidate> {
    remaining
        .iter()
        .copied()
        .min_by(|a, b| utilization(a, server_loads).total_cmp(&utilization(b, server_loads)))
}

/// Returns the load of a server for its capacity.
fn utilization(server: &Candidate, server_loads: &HashMap<Instance, f64>) -> f64 {
    server_loads.get(&server.instance).copied().unwrap_or_default()
        / server.capacity.max(MIN_CAPACITY)
}

/// Returns the move that relieves the busiest server, if one is worth it.
fn next_move(
    draft: &Ownership,
    remaining: &[&Candidate],
    server_loads: &HashMap<Instance, f64>,
    loads: &KeyLoads,
    base: f64,
) -> Option<Move> {
    let dest = least_utilized(remaining, server_loads)?;
    let mut by_utilization: Vec<&&Candidate> = remaining.iter().collect();
    by_utilization
        .sort_by(|a, b| utilization(b, server_loads).total_cmp(&utilization(a, server_loads)));
    let tolerance = if draft.spans.len() > MAX_SPANS_PER_SERVER * remaining.len() {
        FRAGMENTED_TOLERANCE
    } else {
        TOLERANCE
    };
    for source in by_utilization {
        let gap = utilization(source, server_loads) - utilization(dest, server_loads);
        if gap < tolerance {
            return None;
        }
        let half = gap * dest.capacity * source.capacity / (dest.capacity + source.capacity);
        let headroom = TARGET_UTILIZATION - utilization(dest, server_loads);
        let wanted =
            if headroom < MIN_HEADROOM { half } else { half.min(headroom * dest.capacity) };
        if let Some((first, last)) = best_range(draft, &source.instance, loads, base, wanted) {
            return Some(Move { first, last, to: dest.instance.clone() });
        }
    }
    None
}

/// Returns the shortest run of a server's keys whose load is near `wanted` and not far above it.
fn best_range(
    draft: &Ownership,
    owner: &Instance,
    loads: &KeyLoads,
    base: f64,
    wanted: f64,
) -> Option<(u16, u16)> {
    let mut best: Option<(f64, u16, u16)> = None;
    let spans = draft.spans.iter().filter(|span| span.owner == *owner && span.former.is_none());
    for span in spans {
        let loaded: Vec<(u16, f64)> =
            loads.range(span.first..=span.last).map(|(key, load)| (*key, *load)).collect();
        let mut start = 0;
        let mut sum = 0.0;
        for end in 0..loaded.len() {
            sum += loaded[end].1 + base;
            while sum > wanted * 1.2 && start < end {
                sum -= loaded[start].1 + base;
                start += 1;
            }
            if sum > wanted * 1.6 || sum <= 0.0 {
                continue;
            }
            let (first, last) = (loaded[start].0, loaded[end].0);
            let total = sum + base * (f64::from(last - first) - (end - start) as f64);
            let keys = f64::from(last - first) + 1.0;
            let gain = total.min(wanted) - (total - wanted).max(0.0);
            let score = gain - wanted * 0.15 * (keys / 2_000.0).min(2.0);
            if gain > wanted * 0.25 && best.is_none_or(|(other, _, _)| score > other) {
                best = Some((score, first, last));
            }
        }
        if loaded.is_empty() && base > 0.0 {
            let keys = ((wanted / base) as u32).min(span.key_count());
            if keys > 0 && best.is_none() {
                let last = u32::from(span.first) + keys - 1;
                best = Some((0.0, span.first, last as u16));
            }
        }
    }
    best.map(|(_, first, last)| (first, last))
}

/// Returns the load of a run of keys.
fn range_load(loads: &KeyLoads, base: f64, first: u16, last: u16) -> f64 {
    let measured: f64 = loads.range(first..=last).map(|(_, load)| load).sum();
    measured + base * (f64::from(last - first) + 1.0)
}
