//! Scenarios in which the store comes back from an older copy of itself.

use {
    crate::fake::{
        FaultRates, Platform, World, advance, exchange_heartbeats, start, with_paused_clock,
    },
    std::{cell::RefCell, rc::Rc, time::Duration},
    tokio::task::spawn_local,
    whinspring_router::{control, node::Node},
};

const SERVERS: usize = 6;

/// Time after which every lease that the lost history may have granted has expired, and the keys
/// have been granted again.
const SETTLED_MS: u64 = 30_000;

/// Time after a return in which every lease of the lost history has expired and the keys have been
/// granted again.
const WAIT_MS: u64 = 26_000;

/// Two nodes and their servers after the keys were assigned.
struct Cluster {
    world: Rc<RefCell<World>>,
    nodes: Vec<Rc<Node<Platform>>>,
    /// Whether the nodes exchange no heartbeats.
    isolated: Rc<RefCell<bool>>,
}

impl Cluster {
    async fn start(seed: u64, shares_owners: bool) -> Self {
        let world = World::new(seed, SERVERS);
        world.borrow_mut().era = 1;
        world.borrow_mut().shares_owners = shares_owners;
        let nodes = vec![start(&world, "n1"), start(&world, "n2")];
        let isolated = Rc::new(RefCell::new(false));
        spawn_local(exchange_heartbeats(nodes.clone(), isolated.clone()));
        advance(6_000).await;
        Self { world, nodes, isolated }
    }

    /// Returns the index of the controller.
    fn leader(&self) -> usize {
        self.nodes.iter().position(|node| node.control.borrow().is_leader()).unwrap()
    }

    /// Stops the store for a moment and brings it back from a copy of `age_ms`.
    async fn restore(&self, pause_ms: u64, age_ms: u64) {
        self.world.borrow_mut().store_down = true;
        advance(pause_ms).await;
        self.world.borrow_mut().restore(Duration::from_millis(age_ms));
    }

    /// Returns the fraction of all keys that servers hold.
    fn held(&self) -> f64 {
        (0..SERVERS).map(|index| self.world.borrow().share(index)).sum()
    }

    /// Checks that no rule was violated and that all keys are held again.
    async fn check(&self) {
        advance(SETTLED_MS).await;
        assert_eq!(self.world.borrow().faults, Vec::<String>::new());
        assert!((self.held() - 1.0).abs() < 0.001, "{}", self.held());
    }
}

fn scenario<F: Future<Output = ()>>(seed: u64, work: F) {
    with_paused_clock(seed, work);
}

/// Nothing changes hands: servers keep what they hold, although their leases are gone.
#[test]
fn grants_outlast_a_return_of_the_store() {
    for age_ms in [100, 1_000, 3_000, 5_500] {
        scenario(1, async move {
            let cluster = Cluster::start(1, true).await;
            cluster.restore(800, age_ms).await;
            for _ in 0..60 {
                advance(500).await;
                assert!((cluster.held() - 1.0).abs() < 0.001, "{} {age_ms}", cluster.held());
            }
            cluster.check().await;
        });
    }
}

/// A controller whose right ended with the era acts again only after it was elected anew.
#[test]
fn a_controller_is_elected_anew_in_each_era() {
    scenario(1, async {
        let cluster = Cluster::start(1, true).await;
        let leader = cluster.nodes[cluster.leader()].clone();
        let before = leader.control.borrow().term();
        cluster.restore(800, 2_000).await;
        advance(500).await;
        assert!(leader.control.borrow().is_leader(), "the controller lives and asks at once");
        assert!(leader.control.borrow().term() > before);
        cluster.check().await;
    });
}

/// A controller whose place another node takes in the new era leaves it to that node.
#[test]
fn a_controller_that_lost_its_place_does_not_take_it_back() {
    scenario(1, async {
        let cluster = Cluster::start(1, true).await;
        let former = cluster.leader();
        let name = cluster.nodes[former].name().clone();
        cluster.world.borrow_mut().cut_off.push(name);
        cluster.restore(800, 2_000).await;
        advance(3_000).await;
        let next = cluster.nodes[1 - former].clone();
        assert!(next.control.borrow().is_leader());
        let term = next.control.borrow().term();
        cluster.world.borrow_mut().cut_off.clear();
        cluster.check().await;
        assert!(next.control.borrow().is_leader());
        assert_eq!(next.control.borrow().term(), term);
    });
}

/// The copy may be older than the first division of the keys.
#[test]
fn keys_are_not_divided_anew_while_lost_grants_last() {
    for shares_owners in [false, true] {
        scenario(1, async move {
            let cluster = Cluster::start(1, shares_owners).await;
            cluster.world.borrow_mut().leave(5);
            advance(3_000).await;
            cluster.world.borrow_mut().replace(5);
            cluster.world.borrow_mut().list(5, false);
            let leader = cluster.nodes[cluster.leader()].name().clone();
            cluster.world.borrow_mut().cut_off.push(leader);
            *cluster.isolated.borrow_mut() = true;
            cluster.restore(100, 9_000).await;
            advance(SETTLED_MS).await;
            assert_eq!(cluster.world.borrow().faults, Vec::<String>::new());
        });
    }
}

#[test]
fn a_return_during_handovers_gives_no_key_twice() {
    for seed in 0..20 {
        scenario(seed, async move {
            let cluster = Cluster::start(seed, seed % 2 == 0).await;
            cluster.world.borrow_mut().leave(1);
            advance(10 + seed * 30).await;
            cluster.restore(seed * 100, 100 + seed * 150).await;
            cluster.check().await;
        });
    }
}

/// Several servers leave; the copy is from the midst of it, and commands are carried out late.
#[test]
fn a_return_during_a_scale_in_gives_no_key_twice() {
    for seed in 0..20 {
        scenario(seed, async move {
            let cluster = Cluster::start(seed, seed % 2 == 0).await;
            cluster.world.borrow_mut().fault_rates =
                FaultRates { late: 20, stray: 20, ..FaultRates::default() };
            for index in 0..3 {
                cluster.world.borrow_mut().leave(index);
                advance(200 + seed * 40).await;
            }
            cluster.restore(seed * 100, 300 + seed * 150).await;
            advance(SETTLED_MS).await;
            cluster.world.borrow_mut().fault_rates = FaultRates::default();
            cluster.check().await;
        });
    }
}

/// A controller was elected in the lost history, so that the copy names the one before.
#[test]
fn a_return_after_an_election_does_not_bring_the_former_controller_back() {
    for seed in 0..20 {
        scenario(seed, async move {
            let cluster = Cluster::start(seed, false).await;
            let former = cluster.leader();
            let name = cluster.nodes[former].name().clone();
            cluster.world.borrow_mut().cut_off.push(name);
            *cluster.isolated.borrow_mut() = true;
            advance(3_000).await;
            assert!(cluster.nodes[1 - former].control.borrow().is_leader());
            cluster.world.borrow_mut().leave(0);
            advance(seed * 100).await;
            cluster.world.borrow_mut().cut_off.clear();
            cluster.restore(100, 3_000 + seed * 50).await;
            advance(seed * 100).await;
            *cluster.isolated.borrow_mut() = false;
            cluster.check().await;
        });
    }
}

#[test]
fn two_returns_in_a_row_give_no_key_twice() {
    for seed in 0..20 {
        scenario(seed, async move {
            let cluster = Cluster::start(seed, seed % 2 == 0).await;
            cluster.world.borrow_mut().leave(2);
            advance(seed * 50).await;
            cluster.restore(300, 2_000).await;
            advance(seed * 150).await;
            cluster.world.borrow_mut().leave(3);
            cluster.restore(300, 1_000).await;
            cluster.check().await;
        });
    }
}

/// The controller of the old era is cut off from the store and from the other node, but not from
/// the servers, and hands keys over as long as it may.
#[test]
fn a_controller_that_never_hears_of_the_era_does_no_harm() {
    for seed in 0..20 {
        scenario(seed, async move {
            let cluster = Cluster::start(seed, seed % 2 == 0).await;
            let leader = cluster.nodes[cluster.leader()].name().clone();
            cluster.world.borrow_mut().leave(0);
            advance(seed * 40).await;
            *cluster.isolated.borrow_mut() = true;
            cluster.world.borrow_mut().cut_off.push(leader);
            cluster.world.borrow_mut().leave(1);
            cluster.restore(seed * 60, 500 + seed * 100).await;
            cluster.check().await;
        });
    }
}

/// The controller of the old era began a handover that the copy lacks, and goes on with it while its
/// successor renews the leases of the former owner.
#[test]
fn keys_are_settled_only_when_no_earlier_controller_hands_them_over() {
    for step in 0..400 {
        scenario(step, async move {
            let cluster = Cluster::start(step, true).await;
            let leader = cluster.nodes[cluster.leader()].name().clone();
            *cluster.isolated.borrow_mut() = true;
            cluster.world.borrow_mut().set_unreachable(0, true);
            cluster.world.borrow_mut().leave(0);
            advance(600 + step % 7 * 50).await;
            cluster.world.borrow_mut().cut_off.push(leader);
            cluster.restore(50, 1_000).await;
            advance(step * 7).await;
            cluster.world.borrow_mut().set_unreachable(0, false);
            advance(6_000).await;
            assert_eq!(cluster.world.borrow().faults, Vec::<String>::new(), "step {step}");
        });
    }
}

/// All nodes that knew the owners are lost right after the return, and their successors follow each
/// other as controllers.
#[test]
fn elections_after_a_return_do_not_begin_the_wait_anew() {
    scenario(1, async {
        let cluster = Cluster::start(1, false).await;
        cluster.world.borrow_mut().leave(0);
        advance(2_000).await;
        let lost: Vec<_> = cluster.nodes.iter().map(|node| node.name().clone()).collect();
        cluster.world.borrow_mut().cut_off.extend(lost);
        *cluster.isolated.borrow_mut() = true;
        cluster.restore(300, 4_000).await;
        let nodes: Vec<_> = ["n3", "n4"].map(|name| start(&cluster.world, name)).into();
        spawn_local(exchange_heartbeats(nodes.clone(), Rc::default()));
        for _ in 0..4 {
            advance(3_000).await;
            let leader = nodes.iter().find(|node| node.control.borrow().is_leader()).unwrap();
            control::resign(leader).await;
        }
        advance(WAIT_MS - 12_000).await;
        assert!((cluster.held() - 1.0).abs() < 0.001, "{}", cluster.held());
        cluster.check().await;
    });
}
