//! Servers that leave while the store is away, and controllers that change around its return.
//!
//! Load pattern: an operator removes servers in an outage, so that their entries lapse and no keys can
//! be granted to others before the store is back; a fifth of all requests have no owner until then.

use {
    crate::fake::{Platform, World, advance, exchange_heartbeats, start, with_paused_clock},
    std::{cell::RefCell, rc::Rc},
    tokio::task::{JoinHandle, spawn_local},
    whinspring::name::Name,
    whinspring_router::node::Node,
};

const SERVERS: usize = 8;

/// Servers that leave.
const LEAVING: [usize; 2] = [1, 4];

/// Time from the return of the store, or from the election of the last controller, until all keys have
/// an owner if the ends of their former owners are proved: a handover and some rounds.
const OWNED_AFTER_MS: u64 = 3_500;

/// Time from the election of a controller until all leases have expired that a lost one before it may have
/// granted.
const EXPIRED_AFTER_MS: u64 = 12_000 + 4_400;

type Nodes = Vec<Rc<Node<Platform>>>;

/// Some nodes with their servers, after the keys were assigned.
struct Cluster {
    world: Rc<RefCell<World>>,
    nodes: Nodes,
    links: JoinHandle<()>,
}

impl Cluster {
    async fn start(seed: u64, count: usize) -> Self {
        let world = World::new(seed, SERVERS);
        let nodes: Nodes = (1..=count).map(|index| start(&world, &format!("n{index}"))).collect();
        let links = spawn_local(exchange_heartbeats(nodes.clone(), Rc::default()));
        advance(6_000).await;
        assert_eq!(held(&world), 1.0);
        Self { world, nodes, links }
    }

    fn controller(&self) -> Option<Name> {
        let leader = self.nodes.iter().find(|node| node.control.borrow().is_leader());
        leader.map(|node| node.name().clone())
    }

    /// Makes the store refuse all calls for a while; some servers end meanwhile.
    async fn lose_servers_in_outage(&self, outage_ms: u64) {
        self.world.borrow_mut().store_down = true;
        advance(outage_ms / 2).await;
        for index in LEAVING {
            self.world.borrow_mut().crash(index);
            self.world.borrow_mut().list(index, false);
        }
        advance(outage_ms - outage_ms / 2).await;
        self.world.borrow_mut().store_down = false;
    }

    /// Cuts the nodes off from the store and from each other for good, as if their VMs were lost.
    fn lose_nodes(&self) {
        let names = self.nodes.iter().map(|node| node.name().clone());
        self.world.borrow_mut().cut_off.extend(names);
        self.links.abort();
    }

    fn check(&self) {
        assert_eq!(self.world.borrow().faults, Vec::<String>::new());
    }
}

/// Returns the fraction of all keys that servers hold now which do not leave.
fn held_by_others(world: &Rc<RefCell<World>>) -> f64 {
    let stays = |index: &usize| !LEAVING.contains(index);
    (0..SERVERS).filter(stays).map(|index| world.borrow().share(index)).sum()
}

/// Returns the fraction of all keys that servers hold now.
fn held(world: &Rc<RefCell<World>>) -> f64 {
    (0..SERVERS).map(|index| world.borrow().share(index)).sum()
}

/// Guards against a controller that loses its place although it lives and the store has only just
/// returned: the first node that heard of the return took it for one that nobody confirms, and each
/// change of controller begins the wait for the leases of lost servers anew.
#[test]
fn a_controller_that_lives_keeps_its_place_over_an_outage() {
    for outage_ms in [4_000, 8_000, 9_500] {
        with_paused_clock(outage_ms, async {
            let cluster = Cluster::start(outage_ms, 8).await;
            let before = cluster.controller();
            let slow = before.clone().unwrap();
            cluster.world.borrow_mut().cut_off.push(slow);
            cluster.lose_servers_in_outage(outage_ms).await;
            advance(300).await;
            cluster.world.borrow_mut().cut_off.clear();
            advance(2_000).await;
            assert_eq!(cluster.controller(), before, "outage of {outage_ms} ms");
            cluster.check();
        });
    }
}

/// A controller that the store turns away, while it serves the others, gives up its place.
#[test]
fn a_controller_that_only_the_store_does_not_reach_is_replaced() {
    with_paused_clock(1, async {
        let cluster = Cluster::start(1, 5).await;
        let before = cluster.controller();
        cluster.world.borrow_mut().cut_off.extend(before.clone());
        advance(8_000).await;
        let after = cluster.nodes.iter().filter(|node| node.control.borrow().is_leader());
        assert!(after.map(|node| Some(node.name().clone())).any(|name| name != before));
        cluster.check();
    });
}

/// Guards against a successor that leaves keys without an owner until the longest lease of its
/// predecessor has expired, because that one was lost in the middle of their handover: the hottest keys
/// are those that move. The servers respond all the time.
#[test]
fn handovers_of_a_lost_controller_are_finished_soon() {
    for seed in 0..20 {
        with_paused_clock(seed, async {
            let cluster = Cluster::start(seed, 1).await;
            let _successor = start(&cluster.world, "late");
            advance(1_000).await;
            for index in LEAVING {
                cluster.world.borrow_mut().leave(index);
            }
            advance(150 + 40 * seed).await;
            cluster.lose_nodes();
            cluster.world.borrow_mut().set_pathless("n1");
            // The election, the right of a predecessor that may live to hand keys over, the lease of a
            // new owner, and a handover.
            advance(1_500 + 2_500 + 2_340 + 500).await;
            assert_eq!(held_by_others(&cluster.world), 1.0, "seed {seed}");
            cluster.check();
        });
    }
}

/// Guards against leases that all run for the longest time while the store is away: the keys of a
/// server that is lost silently in the outage then wait for seconds after the store's return.
#[test]
fn keys_of_a_server_lost_in_an_outage_are_granted_soon_after_it() {
    for (outage_ms, most_ms) in [(4_000, 6_500), (8_000, 4_000), (9_500, 2_500)] {
        with_paused_clock(outage_ms, async {
            let cluster = Cluster::start(outage_ms, 3).await;
            cluster.world.borrow_mut().store_down = true;
            advance(outage_ms / 2).await;
            for index in LEAVING {
                cluster.world.borrow_mut().set_unreachable(index, true);
                cluster.world.borrow_mut().list(index, false);
            }
            advance(outage_ms - outage_ms / 2).await;
            cluster.world.borrow_mut().store_down = false;
            advance(most_ms).await;
            assert_eq!(held_by_others(&cluster.world), 1.0, "outage of {outage_ms} ms");
            cluster.check();
        });
    }
}

/// The controller is lost in the outage, at the latest when leases have become long; nobody can replace
/// it before the store is back.
#[test]
fn keys_keep_their_owners_though_the_controller_is_lost_in_an_outage() {
    for lost_ms in [4_000, 6_000, 8_000] {
        with_paused_clock(lost_ms, async {
            let cluster = Cluster::start(lost_ms, 1).await;
            let _successor = start(&cluster.world, "late");
            advance(1_000).await;
            cluster.world.borrow_mut().store_down = true;
            advance(lost_ms).await;
            cluster.lose_nodes();
            cluster.world.borrow_mut().set_pathless("n1");
            for _ in 0..(9_000 - lost_ms) / 100 {
                advance(100).await;
                assert_eq!(held(&cluster.world), 1.0, "controller lost after {lost_ms} ms");
            }
            cluster.check();
        });
    }
}

/// Guards against a successor that takes the leases of its predecessor for longer than they are: the
/// store responded all the time, so that they are short.
#[test]
fn a_successor_waits_no_longer_than_the_leases_of_its_predecessor_run() {
    with_paused_clock(1, async {
        let cluster = Cluster::start(1, 1).await;
        let _successor = start(&cluster.world, "late");
        advance(1_000).await;
        cluster.lose_nodes();
        cluster.world.borrow_mut().set_pathless("n1");
        cluster.world.borrow_mut().set_unreachable(1, true);
        cluster.world.borrow_mut().list(1, false);
        // The election, and the right of a predecessor that may live to grant short leases.
        advance(3_000 + 17_000).await;
        assert_eq!(held(&cluster.world), 1.0);
        cluster.check();
    });
}

/// Returns the fraction of all keys that servers hold, or those that replace the leaving ones.
fn held_by_all(world: &Rc<RefCell<World>>) -> f64 {
    held(world) + LEAVING.map(|index| world.borrow().successor_share(index)).iter().sum::<f64>()
}

/// Loses servers in an outage and the controller at its end, and checks that all keys have owners
/// `owned_ms` after the election of a successor. That has lived through the outage, or starts after it and
/// knows the stored owners only.
fn play_successor(end_servers: fn(&mut World), owned_ms: u64) {
    for (outage_ms, starts_late) in
        [4_000, 8_000, 9_500].into_iter().flat_map(|ms| [(ms, false), (ms, true)])
    {
        with_paused_clock(outage_ms, async {
            let cluster = Cluster::start(outage_ms, 1).await;
            let early = (!starts_late).then(|| start(&cluster.world, "late"));
            advance(1_000).await;
            cluster.lose_servers_in_outage(outage_ms).await;
            end_servers(&mut cluster.world.borrow_mut());
            cluster.lose_nodes();
            let _successor = early.unwrap_or_else(|| start(&cluster.world, "late"));
            // The silence of the controller, the election, and the wait for the store's entries.
            advance(4_500 + owned_ms).await;
            let held = held_by_all(&cluster.world);
            assert_eq!(held, 1.0, "{outage_ms} ms, starts late: {starts_late}");
            cluster.check();
        });
    }
}

/// Guards against a successor that knows no address of a server whose entry is gone, so that nothing
/// proves its end and its keys wait for the longest lease: another server responds at the address.
#[test]
fn a_successor_finds_out_which_servers_have_been_replaced() {
    play_successor(|world| LEAVING.iter().for_each(|index| world.replace(*index)), OWNED_AFTER_MS);
}

/// Guards against a successor that waits longer than a lost controller may have granted leases, or begins
/// the wait anew: the servers refuse connections, which proves nothing.
#[test]
fn a_successor_waits_out_the_leases_of_servers_that_refuse_connections() {
    play_successor(|_| (), EXPIRED_AFTER_MS);
}
