//! Which keys change hands so that no server is much busier than the others.
//!
//! Load pattern: a few neighbouring keys get a large part of the requests, and other keys take
//! their place every few seconds. Short runs of busy keys move from the busiest server to the
//! idlest one until they are about equal; keys at rest stay where they are, because a change of
//! hands costs a warm-up in proportion to its keys.

use {
    super::{Life, Ownership},
    std::collections::{BTreeMap, HashMap},
};

/// Moves in one round at most, among few servers.
const MAX_MOVES: usize = 12;

/// The same among many, as a divisor of their number: load that has shifted must be spread over
/// as large a part of them within as many rounds.
const MOVES_DIVISOR: usize = 3;

/// Difference of utilization below which nothing moves.
const TOLERANCE: f64 = 0.12;

/// Spans for each server above which only the largest differences are worth a further split.
const MAX_SPANS: usize = 6;

/// Difference that is worth a move above [`MAX_SPANS`].
const WIDE_TOLERANCE: f64 = 0.4;

/// Utilization up to which one move fills a server: a hot range goes to several at once, and none of
/// them is overloaded in turn.
const FULL: f64 = 0.9;

/// Utilization that must be left below [`FULL`]; where all servers are busy, differences are halved.
const LEAST_ROOM: f64 = 0.2;

/// Capacity that is assumed of the slowest server.
const LEAST_CAPACITY: f64 = 0.01;

/// A server that can own keys.
#[derive(Debug, Clone)]
pub struct Candidate {
    /// The server.
    pub life: Life,
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
    pub to: Life,
}

/// Load of each key in recent time, in work per second.
pub type KeyLoads = BTreeMap<u16, f64>;

/// Returns what should move now.
///
/// `base` is the load assumed of each key beside what was measured.
pub fn plan(owned: &Ownership, servers: &[Candidate], loads: &KeyLoads, base: f64) -> Vec<Move> {
    let mut moves = Vec::new();
    let mut draft = owned.clone();
    let stay: Vec<&Candidate> = servers.iter().filter(|server| !server.leaving).collect();
    if stay.is_empty() {
        return moves;
    }
    let mut used: HashMap<Life, f64> = stay.iter().map(|s| (s.life.clone(), 0.0)).collect();
    for span in &draft.spans {
        if let Some(load) = used.get_mut(&span.owner) {
            *load += load_of(loads, base, span.first, span.last);
        }
    }
    evacuate(&mut draft, &stay, &mut used, loads, base, &mut moves);
    for _ in 0..MAX_MOVES.max(stay.len() / MOVES_DIVISOR) {
        let Some(step) = improve(&draft, &stay, &used, loads, base) else { break };
        apply(&mut draft, &mut used, loads, base, &step);
        moves.push(step);
    }
    moves
}

/// Returns the load for its capacity of each server that stays, in ascending order.
pub fn levels(owned: &Ownership, servers: &[Candidate], loads: &KeyLoads, base: f64) -> Vec<f64> {
    let stay = servers.iter().filter(|server| !server.leaving);
    let level = |server: &Candidate| {
        let own = owned.spans.iter().filter(|span| span.owner == server.life);
        let load: f64 = own.map(|span| load_of(loads, base, span.first, span.last)).sum();
        load / server.capacity.max(LEAST_CAPACITY)
    };
    let mut levels: Vec<f64> = stay.map(level).collect();
    levels.sort_by(f64::total_cmp);
    levels
}

/// Gives away the keys of servers that leave or are gone.
fn evacuate(
    draft: &mut Ownership,
    stay: &[&Candidate],
    used: &mut HashMap<Life, f64>,
    loads: &KeyLoads,
    base: f64,
    moves: &mut Vec<Move>,
) {
    for span in draft.spans.clone() {
        if span.former.is_some() || used.contains_key(&span.owner) {
            continue;
        }
        let Some(to) = idlest(stay, used) else { return };
        let step = Move { first: span.first, last: span.last, to: to.life.clone() };
        apply(draft, used, loads, base, &step);
        moves.push(step);
    }
}

/// Carries a move out on the draft.
fn apply(
    draft: &mut Ownership,
    used: &mut HashMap<Life, f64>,
    loads: &KeyLoads,
    base: f64,
    step: &Move,
) {
    let load = load_of(loads, base, step.first, step.last);
    for index in draft.carve(step.first, step.last) {
        let span = &mut draft.spans[index];
        if let Some(from) = used.get_mut(&span.owner) {
            *from -= load;
        }
        span.former = Some(std::mem::replace(&mut span.owner, step.to.clone()));
    }
    *used.entry(step.to.clone()).or_default() += load;
}

/// Returns the server with the least load for its capacity.
fn idlest<'a>(stay: &[&'a Candidate], used: &HashMap<Life, f64>) -> Option<&'a Candidate> {
    stay.iter().copied().min_by(|a, b| level(a, used).total_cmp(&level(b, used)))
}

/// Returns the load of a server for its capacity.
fn level(server: &Candidate, used: &HashMap<Life, f64>) -> f64 {
    used.get(&server.life).copied().unwrap_or_default() / server.capacity.max(LEAST_CAPACITY)
}

/// Returns the move that relieves the busiest server, if one is worth it.
fn improve(
    draft: &Ownership,
    stay: &[&Candidate],
    used: &HashMap<Life, f64>,
    loads: &KeyLoads,
    base: f64,
) -> Option<Move> {
    let low = idlest(stay, used)?;
    let mut by_level: Vec<&&Candidate> = stay.iter().collect();
    by_level.sort_by(|a, b| level(b, used).total_cmp(&level(a, used)));
    let tolerance =
        if draft.spans.len() > MAX_SPANS * stay.len() { WIDE_TOLERANCE } else { TOLERANCE };
    for high in by_level {
        let gap = level(high, used) - level(low, used);
        if gap < tolerance {
            return None;
        }
        let half = gap * low.capacity * high.capacity / (low.capacity + high.capacity);
        let room = FULL - level(low, used);
        let want = if room < LEAST_ROOM { half } else { half.min(room * low.capacity) };
        if let Some((first, last)) = best_run(draft, &high.life, loads, base, want) {
            return Some(Move { first, last, to: low.life.clone() });
        }
    }
    None
}

/// Returns the shortest run of a server's keys whose load is near `want` and not far above it.
fn best_run(
    draft: &Ownership,
    owner: &Life,
    loads: &KeyLoads,
    base: f64,
    want: f64,
) -> Option<(u16, u16)> {
    let mut best: Option<(f64, u16, u16)> = None;
    let spans = draft.spans.iter().filter(|span| span.owner == *owner && span.former.is_none());
    for span in spans {
        let busy: Vec<(u16, f64)> =
            loads.range(span.first..=span.last).map(|(key, load)| (*key, *load)).collect();
        let mut start = 0;
        let mut sum = 0.0;
        for end in 0..busy.len() {
            sum += busy[end].1 + base;
            while sum > want * 1.2 && start < end {
                sum -= busy[start].1 + base;
                start += 1;
            }
            if sum > want * 1.6 || sum <= 0.0 {
                continue;
            }
            let (first, last) = (busy[start].0, busy[end].0);
            let whole = sum + base * (f64::from(last - first) - (end - start) as f64);
            let keys = f64::from(last - first) + 1.0;
            let gain = whole.min(want) - (whole - want).max(0.0);
            let score = gain - want * 0.15 * (keys / 2_000.0).min(2.0);
            if gain > want * 0.25 && best.is_none_or(|(other, _, _)| score > other) {
                best = Some((score, first, last));
            }
        }
        if busy.is_empty() && base > 0.0 {
            let keys = ((want / base) as u32).min(span.keys());
            if keys > 0 && best.is_none() {
                let last = u32::from(span.first) + keys - 1;
                best = Some((0.0, span.first, last as u16));
            }
        }
    }
    best.map(|(_, first, last)| (first, last))
}

/// Returns the load of a run of keys.
fn load_of(loads: &KeyLoads, base: f64, first: u16, last: u16) -> f64 {
    let measured: f64 = loads.range(first..=last).map(|(_, load)| load).sum();
    measured + base * (f64::from(last - first) + 1.0)
}
