//! Planning of key moves that balance the load of the servers.
//!
//! Load pattern: a few adjacent keys receive a large part of the requests, and which keys these are
//! changes every few seconds. Short ranges of hot keys move from the most to the least utilized
//! server until both are about equal. Cold keys stay where they are, because a move costs a warm-up
//! in proportion to the number of keys.

use {
    super::{
        Instance, Ownership,
        demand::{Demand, KeyLoads},
    },
    crate::name::Name,
    std::collections::{HashMap, HashSet},
};

/// Limit of moves in one round for a small number of servers.
const MIN_MOVE_LIMIT: usize = 12;

/// The limit for many servers is their number divided by this: shifted load must reach the same
/// share of the servers within the same number of rounds.
const MOVE_LIMIT_DIVISOR: usize = 3;

/// Difference in utilization below which no keys move.
const TOLERANCE: f64 = 0.12;

/// Average number of spans per server above which [`FRAGMENTED_TOLERANCE`] applies, to limit
/// further splits.
const MAX_SPANS_PER_SERVER: usize = 6;

/// Difference in utilization below which no keys move once ownership is fragmented.
const FRAGMENTED_TOLERANCE: f64 = 0.4;

/// Utilization up to which one move may fill a server, so that a hot range is spread over several
/// servers at once and overloads none of them.
const TARGET_UTILIZATION: f64 = 0.9;

/// Headroom of the receiving server below [`TARGET_UTILIZATION`] under which a move ignores that
/// target: where all servers are busy, it takes half of the difference.
const MIN_HEADROOM: f64 = 0.2;

/// Number of keys moved to faster servers in one round because they are too hot for their owners.
const MAX_HOT_KEYS: usize = 8;

/// Factor by which a server must be faster than the owner of a key that is too hot for its owner.
/// Measured speeds vary by less.
const MIN_SPEEDUP: f64 = 1.25;

/// Load, relative to its capacity, that the owner of a key which fills it may have from other keys:
/// to move the last ones away costs more than it gains.
const MIN_REST: f64 = 0.05;

/// Share of the highest capacity from which a server counts as one of the fastest.
const FASTEST_SHARE: f64 = 0.9;

/// Difference in utilization up to which two destinations count as equal, so that the one in the
/// callers' failure domain is preferred.
const EQUAL_UTILIZATION: f64 = 0.1;

/// Share of a range's load that must come from one failure domain to prefer a server there.
const MIN_ORIGIN_SHARE: f64 = 0.6;

/// The same for a move that does not serve the balance.
const MIN_LOCAL_SHARE: f64 = 0.75;

/// Load for each key of a range, in slots, from which it may move for locality alone. A request in its own domain saves 1 ms and 10 kB on
/// the links between domains, about 9 ms of a link of 10 Mbit/s; a moved key costs a slow request of
/// 130 ms. At 0.2 slots, 1.5 requests a second, a move pays for itself in 10 s.
const MIN_LOCAL_KEY_LOAD: f64 = 0.2;

/// Limit of moves for locality alone in one round.
const MAX_LOCAL_MOVES: usize = 4;

/// Lower bound of a server's capacity; avoids a division by zero.
const MIN_CAPACITY: f64 = 0.01;

/// A server that can own keys.
#[derive(Debug, Clone)]
pub struct Candidate {
    pub instance: Instance,
    /// Work per second that the server can do, relative to the other servers.
    pub capacity: f64,
    /// Whether all its keys must move to other servers.
    pub leaving: bool,
}

/// A range of keys that moves to another server; `first` and `last` are inclusive.
#[derive(Debug, Clone, PartialEq)]
pub struct Move {
    pub first: u16,
    pub last: u16,
    /// New owner.
    pub to: Instance,
}

/// Where the servers are, and where the load of the keys comes from.
#[derive(Debug)]
pub struct Places<'a> {
    /// Failure domains of the servers.
    pub domains: HashMap<Instance, Name>,
    pub demand: &'a Demand,
}

impl Places<'_> {
    /// Returns the failure domain from which more than `share` of the load of a range comes.
    fn origin(&self, first: u16, last: u16, share: f64) -> Option<&Name> {
        let (name, part) = self.demand.main_origin(first, last)?;
        (part > share).then_some(name)
    }

    fn is_in(&self, server: &Instance, domain: &Name) -> bool {
        self.domains.get(server) == Some(domain)
    }
}

/// Plans the moves of one round without regard to failure domains.
///
/// `base` is the load that is assumed for each key in addition to its measured load.
pub fn plan_moves(
    owned: &Ownership,
    servers: &[Candidate],
    loads: &KeyLoads,
    base: f64,
) -> Vec<Move> {
    plan_moves_near(owned, servers, loads, base, None)
}

/// Plans the moves of one round; among servers of about equal utilization, one in the failure domain
/// that most of a range's load comes from receives it.
pub fn plan_moves_near(
    owned: &Ownership,
    servers: &[Candidate],
    loads: &KeyLoads,
    base: f64,
    places: Option<&Places<'_>>,
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
    place_hot_keys(&mut draft, &remaining, &mut server_loads, loads, base, places, &mut moves);
    for _ in 0..MIN_MOVE_LIMIT.max(remaining.len() / MOVE_LIMIT_DIVISOR) {
        let Some(mut planned) = next_move(&draft, &remaining, &server_loads, loads, base) else {
            break;
        };
        if let Some(to) =
            places.and_then(|it| nearer(&planned, &draft, &remaining, &server_loads, loads, it))
        {
            planned.to = to;
        }
        apply(&mut draft, &mut server_loads, loads, base, &planned);
        moves.push(planned);
    }
    if let Some(places) = places {
        move_near(&mut draft, &remaining, &mut server_loads, loads, base, places, &mut moves);
    }
    moves
}

/// Returns the utilization of each server that is not leaving, in ascending order.
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

/// Moves the keys of servers that are leaving or gone to the least utilized servers, the spans with the
/// most load first. A span is split where it would fill a server beyond [`TARGET_UTILIZATION`], or
/// beyond the mean if all servers together have more load than that.
fn evacuate(
    draft: &mut Ownership,
    remaining: &[&Candidate],
    server_loads: &mut HashMap<Instance, f64>,
    loads: &KeyLoads,
    base: f64,
    moves: &mut Vec<Move>,
) {
    let spans = draft.spans.iter();
    let homeless = spans.filter(|s| s.former.is_none() && !server_loads.contains_key(&s.owner));
    let mut pending: Vec<(f64, u16, u16)> = homeless
        .map(|span| (range_load(loads, base, span.first, span.last), span.first, span.last))
        .collect();
    pending.sort_by(|a, b| b.0.total_cmp(&a.0));
    let total: f64 = pending.iter().map(|(load, ..)| load).chain(server_loads.values()).sum();
    let capacity: f64 = remaining.iter().map(|server| server.capacity.max(MIN_CAPACITY)).sum();
    let level = TARGET_UTILIZATION.max(total / capacity);
    for (mut load, mut first, last) in pending {
        loop {
            let Some(to) = least_utilized(remaining, server_loads) else { return };
            let free = (level - utilization(to, server_loads)).max(MIN_HEADROOM);
            let room = free * to.capacity.max(MIN_CAPACITY);
            let end =
                if load <= room { last } else { prefix_end(loads, base, (first, last), room) };
            let planned = Move { first, last: end, to: to.instance.clone() };
            apply(draft, server_loads, loads, base, &planned);
            moves.push(planned);
            if end == last {
                break;
            }
            first = end + 1;
            load = range_load(loads, base, first, last);
        }
    }
}

/// Returns the last key of the longest start of a range whose load is at most `room`, or the first key
/// of the range if that alone has more.
fn prefix_end(loads: &KeyLoads, base: f64, (first, last): (u16, u16), room: f64) -> u16 {
    let keys_of = |left: f64| if base > 0.0 { (left / base).max(0.0) as u32 } else { u32::MAX };
    let mut measured = 0.0;
    for (key, load) in loads.range(first..=last) {
        let before = u32::from(key - first);
        let allowed = keys_of(room - measured);
        if allowed < before {
            return first + allowed.max(1).min(before) as u16 - 1;
        }
        measured += load;
        if measured + base * f64::from(before + 1) > room {
            return if *key == first { first } else { key - 1 };
        }
    }
    let allowed = keys_of(room - measured).max(1) - 1;
    first + allowed.min(u32::from(last - first)) as u16
}

/// Moves keys that alone fill their owners to the fastest servers without such a key. The other keys
/// of these servers move away like those of any server that is highly utilized.
fn place_hot_keys(
    draft: &mut Ownership,
    remaining: &[&Candidate],
    server_loads: &mut HashMap<Instance, f64>,
    loads: &KeyLoads,
    base: f64,
    places: Option<&Places<'_>>,
    moves: &mut Vec<Move>,
) {
    let capacities: HashMap<&Instance, f64> =
        remaining.iter().map(|server| (&server.instance, server.capacity)).collect();
    let lowest = capacities.values().copied().fold(f64::INFINITY, f64::min);
    let mut hot: Vec<(f64, u16, &Candidate)> = Vec::new();
    for (key, load) in loads.iter().filter(|(_, load)| **load > lowest * TARGET_UTILIZATION) {
        let owner = draft.find(*key).map(|span| &span.owner);
        let owner = remaining.iter().find(|server| Some(&server.instance) == owner);
        if let Some(owner) = owner.filter(|it| *load > it.capacity * TARGET_UTILIZATION) {
            hot.push((*load, *key, owner));
        }
    }
    hot.sort_by(|a, b| b.0.total_cmp(&a.0));
    let mut taken: HashSet<Instance> =
        hot.iter().map(|(_, _, owner)| owner.instance.clone()).collect();
    for (_, key, owner) in hot.into_iter().take(MAX_HOT_KEYS) {
        if draft.find(key).is_none_or(|span| span.former.is_some()) {
            continue;
        }
        let free = remaining.iter().filter(|server| !taken.contains(&server.instance));
        let highest = free.clone().map(|server| server.capacity).fold(0.0, f64::max);
        let fastest: Vec<&Candidate> =
            free.copied().filter(|server| server.capacity >= highest * FASTEST_SHARE).collect();
        let origin = places.and_then(|it| Some((it, it.origin(key, key, MIN_ORIGIN_SHARE)?)));
        let near: Vec<&Candidate> = match origin {
            Some((places, origin)) => fastest
                .iter()
                .copied()
                .filter(|server| places.is_in(&server.instance, origin))
                .collect(),
            None => Vec::new(),
        };
        let near = least_utilized(&near, server_loads);
        let Some(to) = near.or_else(|| least_utilized(&fastest, server_loads)) else { return };
        if to.capacity < owner.capacity * MIN_SPEEDUP {
            continue;
        }
        taken.insert(to.instance.clone());
        let planned = Move { first: key, last: key, to: to.instance.clone() };
        apply(draft, server_loads, loads, base, &planned);
        moves.push(planned);
    }
}

/// Returns a server in the failure domain that most of a move's load comes from, if the move would
/// leave it about as utilized as the planned one.
fn nearer(
    planned: &Move,
    draft: &Ownership,
    remaining: &[&Candidate],
    server_loads: &HashMap<Instance, f64>,
    loads: &KeyLoads,
    places: &Places<'_>,
) -> Option<Instance> {
    let origin = places.origin(planned.first, planned.last, MIN_ORIGIN_SHARE)?;
    if places.is_in(&planned.to, origin) {
        return None;
    }
    let load = range_load(loads, 0.0, planned.first, planned.last);
    let after = |server: &Candidate| utilization(server, server_loads) + level(server, load);
    let farther = remaining.iter().find(|server| server.instance == planned.to)?;
    let owner = &draft.find(planned.first)?.owner;
    let near = remaining
        .iter()
        .filter(|server| places.is_in(&server.instance, origin) && server.instance != *owner);
    let best = near.min_by(|a, b| after(a).total_cmp(&after(b)))?;
    let limit = after(farther).max(TARGET_UTILIZATION.min(after(farther) + EQUAL_UTILIZATION));
    (after(best) <= limit).then(|| best.instance.clone())
}

/// Moves ranges with much load to the failure domain that it comes from, while the servers stay
/// balanced. Where all are equally utilized, two ranges change places.
fn move_near(
    draft: &mut Ownership,
    remaining: &[&Candidate],
    server_loads: &mut HashMap<Instance, f64>,
    loads: &KeyLoads,
    base: f64,
    places: &Places<'_>,
    moves: &mut Vec<Move>,
) {
    let mut ranges = misplaced(draft, remaining, loads, places);
    let mut left = MAX_LOCAL_MOVES;
    while left > 0 && !ranges.is_empty() {
        let range = ranges.remove(0);
        let from_level = utilization(range.owner, server_loads) - level(range.owner, range.load);
        let after =
            |server: &Candidate| utilization(server, server_loads) + level(server, range.load);
        let near = remaining.iter().filter(|server| places.is_in(&server.instance, range.origin));
        // The next round would move other ranges back for a larger difference.
        let free = near
            .min_by(|a, b| after(a).total_cmp(&after(b)))
            .filter(|to| after(to) <= TARGET_UTILIZATION && after(to) - from_level < TOLERANCE);
        if let Some(to) = free {
            let planned = range.move_to(to);
            apply(draft, server_loads, loads, base, &planned);
            moves.push(planned);
            left -= 1;
            continue;
        }
        let partner = ranges.iter().position(|other| {
            let difference = (other.load - range.load).abs();
            let lowest = other.owner.capacity.min(range.owner.capacity);
            places.is_in(&other.owner.instance, range.origin)
                && places.is_in(&range.owner.instance, other.origin)
                && difference <= EQUAL_UTILIZATION * lowest
        });
        let Some(partner) = partner.filter(|_| left >= 2) else { continue };
        let partner = ranges.remove(partner);
        for planned in [range.move_to(partner.owner), partner.move_to(range.owner)] {
            apply(draft, server_loads, loads, base, &planned);
            moves.push(planned);
            left -= 1;
        }
    }
}

/// A range whose load comes from another failure domain than its owner's.
struct Misplaced<'a> {
    first: u16,
    last: u16,
    load: f64,
    owner: &'a Candidate,
    /// Domain that the load comes from.
    origin: &'a Name,
}

impl Misplaced<'_> {
    fn move_to(&self, to: &Candidate) -> Move {
        Move { first: self.first, last: self.last, to: to.instance.clone() }
    }
}

/// Returns the ranges that are worth a move for locality alone, those with the highest load first.
fn misplaced<'a>(
    draft: &Ownership,
    remaining: &[&'a Candidate],
    loads: &KeyLoads,
    places: &'a Places<'_>,
) -> Vec<Misplaced<'a>> {
    let owners: HashMap<&Instance, &Candidate> =
        remaining.iter().map(|server| (&server.instance, *server)).collect();
    let mut found = Vec::new();
    for span in draft.spans.iter().filter(|span| span.former.is_none()) {
        let load = range_load(loads, 0.0, span.first, span.last);
        let least = MIN_LOCAL_KEY_LOAD * f64::from(span.key_count());
        if load < least || !places.demand.is_settled(span.first, span.last) {
            continue;
        }
        let Some(owner) = owners.get(&span.owner) else { continue };
        let Some(origin) = places.origin(span.first, span.last, MIN_LOCAL_SHARE) else { continue };
        if !places.is_in(&span.owner, origin) {
            found.push(Misplaced { first: span.first, last: span.last, load, owner, origin });
        }
    }
    found.sort_by(|a, b| b.load.total_cmp(&a.load));
    found
}

/// Returns the utilization that a load causes at a server.
fn level(server: &Candidate, load: f64) -> f64 {
    load / server.capacity.max(MIN_CAPACITY)
}

/// Applies a move to the draft.
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

fn least_utilized<'a>(
    remaining: &[&'a Candidate],
    server_loads: &HashMap<Instance, f64>,
) -> Option<&'a Candidate> {
    remaining
        .iter()
        .copied()
        .min_by(|a, b| utilization(a, server_loads).total_cmp(&utilization(b, server_loads)))
}

/// Returns the load of a server relative to its capacity.
fn utilization(server: &Candidate, server_loads: &HashMap<Instance, f64>) -> f64 {
    server_loads.get(&server.instance).copied().unwrap_or_default()
        / server.capacity.max(MIN_CAPACITY)
}

/// Returns a move to the least utilized server from the most utilized one that has a suitable
/// range, if the difference exceeds the tolerance.
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
        let hot = hot_load(draft, source, loads);
        let wanted = if hot > 0.0 {
            let rest = server_loads.get(&source.instance).copied().unwrap_or_default() - hot;
            if rest < MIN_REST * source.capacity {
                continue;
            }
            wanted.min(rest)
        } else {
            wanted
        };
        if let Some((first, last)) = best_range(draft, &source.instance, loads, base, wanted) {
            return Some(Move { first, last, to: dest.instance.clone() });
        }
    }
    None
}

/// Returns the load of the keys that alone fill their owner.
fn hot_load(draft: &Ownership, owner: &Candidate, loads: &KeyLoads) -> f64 {
    let spans = draft.spans.iter().filter(|span| span.owner == owner.instance);
    let keys = spans.flat_map(|span| loads.range(span.first..=span.last));
    let hot = keys.filter(|(_, load)| **load > owner.capacity * TARGET_UTILIZATION);
    hot.map(|(_, load)| load).sum()
}

/// Returns a short range of a server's keys whose load is close to `wanted` and not far above it.
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

/// Returns the measured and the base load of a range of keys.
fn range_load(loads: &KeyLoads, base: f64, first: u16, last: u16) -> f64 {
    let measured: f64 = loads.range(first..=last).map(|(_, load)| load).sum();
    measured + base * (f64::from(last - first) + 1.0)
}
