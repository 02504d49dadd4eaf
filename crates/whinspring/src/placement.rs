//! Policies for placing units of load on servers.
//!
//! A unit is a slice or a single hot key. [`place`] is pure and independent of the records, so that
//! the policies can be benchmarked at any size.

use {crate::name::ServerId, std::collections::BTreeMap, twox_hash::XxHash3_64};

/// Virtual nodes per server on the hash ring of [`Policy::Hash`].
const VIRTUAL_NODES: u32 = 64;

#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub enum Policy {
    /// Consistent hashing with bounded loads: the next server on the ring with spare capacity.
    Hash,
    /// Weighted rendezvous hashing: the server with the highest score, regardless of its load.
    Rendezvous,
    /// Greedy on measured load: makes few moves, away from the most loaded servers.
    #[default]
    Greedy,
}

impl Policy {
    pub const ALL: &[Self] = &[Self::Hash, Self::Rendezvous, Self::Greedy];

    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Hash => "hash",
            Self::Rendezvous => "rendezvous",
            Self::Greedy => "greedy",
        }
    }

    pub fn parse(text: &str) -> Option<Self> {
        Self::ALL.iter().copied().find(|policy| policy.as_str() == text)
    }
}

/// Unit of load with a single owner.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Unit {
    pub hash: u64,
    /// Load, in any measure that is the same for all units.
    pub load: u64,
    /// Current owner.
    pub owner: Option<ServerId>,
}

/// Server that units can be placed on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Target {
    pub server: ServerId,
    /// Relative share of the load; must not be zero.
    pub weight: u32,
}

/// Limits on the moves of a placement and its tolerated imbalance.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Limits {
    /// Maximum number of units that leave a current owner that is still among the targets.
    pub moves: usize,
    /// Tolerated load above the mean, as a fraction of the mean.
    pub slack: f64,
}

/// Returns the owner of each unit, in the order of the units; empty if there are no targets.
pub fn place(policy: Policy, units: &[Unit], targets: &[Target], limits: Limits) -> Vec<ServerId> {
    if targets.is_empty() {
        return Vec::new();
    }
    match policy {
        Policy::Hash => {
            limit_moves(units, targets, limits, place_on_ring(units, targets, limits.slack))
        }
        Policy::Rendezvous => {
            let chosen = units.iter().map(|unit| pick_rendezvous(unit.hash, targets)).collect();
            limit_moves(units, targets, limits, chosen)
        }
        Policy::Greedy => Greedy::new(units, targets).place(limits),
    }
}

/// Returns the highest load per weight of a server, relative to the mean load per weight.
pub fn imbalance(units: &[Unit], owners: &[ServerId], targets: &[Target]) -> f64 {
    let mut loads: BTreeMap<ServerId, u64> = BTreeMap::new();
    for (unit, owner) in units.iter().zip(owners) {
        *loads.entry(*owner).or_default() += unit.load;
    }
    let total: u64 = loads.values().sum();
    let weights: u64 = targets.iter().map(|target| u64::from(target.weight)).sum();
    let mean = total as f64 / weights as f64;
    let load = |target: &Target| loads.get(&target.server).copied().unwrap_or_default() as f64;
    let most_loaded =
        targets.iter().map(|target| load(target) / f64::from(target.weight)).fold(0.0, f64::max);
    if mean > 0.0 { most_loaded / mean } else { 1.0 }
}

/// Keeps the current owners of the units that exceed the allowed number of moves.
fn limit_moves(
    units: &[Unit],
    targets: &[Target],
    limits: Limits,
    mut chosen: Vec<ServerId>,
) -> Vec<ServerId> {
    let is_target = |server: ServerId| targets.iter().any(|target| target.server == server);
    let mut moves = 0;
    for (unit, server) in units.iter().zip(&mut chosen) {
        let Some(owner) = unit.owner.filter(|owner| *owner != *server && is_target(*owner)) else {
            continue;
        };
        moves += 1;
        if moves > limits.moves {
            *server = owner;
        }
    }
    chosen
}

/// Places each unit on the next server of the hash ring whose load stays within its bound.
fn place_on_ring(units: &[Unit], targets: &[Target], slack: f64) -> Vec<ServerId> {
    let mut ring: Vec<(u64, usize)> = Vec::new();
    for (index, target) in targets.iter().enumerate() {
        let points =
            (0..VIRTUAL_NODES).map(|point| (score(u64::from(point), target.server), index));
        ring.extend(points);
    }
    ring.sort_unstable();
    let total: u64 = units.iter().map(|unit| unit.load.max(1)).sum();
    let weights: u64 = targets.iter().map(|target| u64::from(target.weight)).sum();
    let share = total as f64 * (1.0 + slack) / weights as f64;
    let bounds: Vec<f64> = targets.iter().map(|target| share * f64::from(target.weight)).collect();
    let mut loads = vec![0_u64; targets.len()];
    let mut chosen = Vec::with_capacity(units.len());
    for unit in units {
        let start = ring.partition_point(|(point, _)| *point < unit.hash);
        let walk = (0..ring.len()).map(|step| ring[(start + step) % ring.len()].1);
        let load = unit.load.max(1);
        let room = |index: &usize| (loads[*index] + load) as f64 <= bounds[*index];
        let first = ring[start % ring.len()].1;
        let index = walk.clone().find(room).unwrap_or(first);
        loads[index] += load;
        chosen.push(targets[index].server);
    }
    chosen
}

/// Returns the server with the highest weighted score for a unit.
fn pick_rendezvous(hash: u64, targets: &[Target]) -> ServerId {
    let weighted = |target: &Target| {
        let unit = (score(hash, target.server) >> 11) as f64 / (1_u64 << 53) as f64;
        -f64::from(target.weight) / unit.max(f64::MIN_POSITIVE).ln()
    };
    let best = targets.iter().max_by(|a, b| weighted(a).total_cmp(&weighted(b)));
    best.map_or(targets[0].server, |target| target.server)
}

fn score(number: u64, server: ServerId) -> u64 {
    XxHash3_64::oneshot_with_seed(number, &server.0.to_le_bytes())
}

struct Greedy<'a> {
    units: &'a [Unit],
    targets: &'a [Target],
    /// Units of each server as load and index, in ascending order.
    lists: Vec<Vec<(u64, usize)>>,
    loads: Vec<u64>,
    /// Server of each unit, as an index into `targets`.
    chosen: Vec<usize>,
}

impl<'a> Greedy<'a> {
    /// Keeps units on their servers; places those without one on the least loaded, largest first.
    fn new(units: &'a [Unit], targets: &'a [Target]) -> Self {
        let index: BTreeMap<ServerId, usize> =
            targets.iter().enumerate().map(|(index, target)| (target.server, index)).collect();
        let mut greedy = Self {
            units,
            targets,
            lists: vec![Vec::new(); targets.len()],
            loads: vec![0; targets.len()],
            chosen: vec![0; units.len()],
        };
        let mut unowned = Vec::new();
        for (number, unit) in units.iter().enumerate() {
            match unit.owner.and_then(|owner| index.get(&owner)) {
                Some(target) => greedy.assign(number, *target),
                None => unowned.push(number),
            }
        }
        unowned.sort_by_key(|number| std::cmp::Reverse(units[*number].load));
        for number in unowned {
            let least_loaded = greedy.find_extreme(&[], false).unwrap_or_default();
            greedy.assign(number, least_loaded);
        }
        for list in &mut greedy.lists {
            list.sort_unstable();
        }
        greedy
    }

    /// Moves units off the most loaded servers until all are within the slack.
    fn place(mut self, limits: Limits) -> Vec<ServerId> {
        let total: u64 = self.loads.iter().sum();
        let weights: u64 = self.targets.iter().map(|target| u64::from(target.weight)).sum();
        let bound = total as f64 / weights as f64 * (1.0 + limits.slack);
        let mut exhausted = Vec::new();
        let mut moves = 0;
        while moves < limits.moves {
            let Some(from) = self.find_extreme(&exhausted, true) else { break };
            let Some(to) = self.find_extreme(&[], false) else { break };
            if self.weighted_load(from) <= bound || from == to {
                break;
            }
            if self.move_unit(from, to) {
                moves += 1;
            } else {
                exhausted.push(from);
            }
        }
        self.chosen.iter().map(|target| self.targets[*target].server).collect()
    }

    /// Moves the unit that best balances two servers; returns `false` if no unit does.
    fn move_unit(&mut self, from: usize, to: usize) -> bool {
        let (w, v) = (u64::from(self.targets[from].weight), u64::from(self.targets[to].weight));
        let ideal = (self.loads[from] * v).saturating_sub(self.loads[to] * w) / (w + v);
        let list = &self.lists[from];
        let fitting = list.partition_point(|(load, _)| *load <= ideal);
        let place = match fitting.checked_sub(1) {
            Some(place) if list[place].0 > 0 => place,
            _ if list.get(fitting).is_some_and(|(load, _)| *load < ideal * 2) => fitting,
            _ => return false,
        };
        let (load, number) = self.lists[from].remove(place);
        self.loads[from] -= load;
        self.assign(number, to);
        let entry = self.lists[to].pop().unwrap_or((load, number));
        let place = self.lists[to].partition_point(|other| *other < entry);
        self.lists[to].insert(place, entry);
        true
    }

    /// Appends a unit to a server's list, which the caller has to keep sorted.
    fn assign(&mut self, number: usize, target: usize) {
        let load = self.units[number].load;
        self.chosen[number] = target;
        self.loads[target] += load;
        self.lists[target].push((load, number));
    }

    /// Returns the most or least loaded server that is not in `skipped`.
    fn find_extreme(&self, skipped: &[usize], most_loaded: bool) -> Option<usize> {
        let targets = (0..self.targets.len()).filter(|target| !skipped.contains(target));
        let order =
            |a: &usize, b: &usize| self.weighted_load(*a).total_cmp(&self.weighted_load(*b));
        if most_loaded { targets.max_by(order) } else { targets.min_by(order) }
    }

    /// Returns the load of a server divided by its weight.
    fn weighted_load(&self, target: usize) -> f64 {
        self.loads[target] as f64 / f64::from(self.targets[target].weight)
    }
}
