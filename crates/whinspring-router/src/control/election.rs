//! Election of the controller.
//!
//! The controller is named by a record in the store that is changed by conditional writes only. A
//! node campaigns when the controller is silent, has not been confirmed by the store for too long,
//! or has resigned. While the store does not respond, the controller finds out for all when it does
//! again; without a controller, the nodes' attempts to become one do. Nodes with a larger CPU share campaign first. A node that is cut off from all
//! servers is no use as the controller: it resigns, and does not campaign, while another live node
//! is not cut off.

use {
    super::{
        COMMAND_TIMEOUT, Controller, EarlierController, HANDOVER_TIMEOUT, grants, progress, restore,
    },
    crate::{
        follow,
        message::Heartbeat,
        node::Node,
        peers,
        platform::{Kind, Platform, Position, StoreError},
        record::{ControlRecord, ControllerRecord},
    },
    log::{info, warn},
    prost::Message,
    std::{cmp::Reverse, rc::Rc, time::Duration},
    tokio::{task::spawn_local, time::sleep},
    whinspring::{name::Name, rendezvous, time::Tick},
};

const ROUND_INTERVAL: Duration = Duration::from_millis(100);

/// Time after the start of the process before the node looks for a controller.
const STARTUP_DELAY: Duration = Duration::from_millis(600);

/// Additional delay of each node after the one ranked before it.
const RANK_DELAY: Duration = Duration::from_millis(350);

/// Time between two checks with the store that this node still is the controller.
const CONFIRM_INTERVAL: Duration = Duration::from_millis(1_500);

/// Time between two such checks while they fail.
const CONFIRM_RETRY: Duration = Duration::from_millis(300);

/// Time since the store last responded to the controller after which other nodes may campaign: from
/// then on the controller hands no keys over.
const UNCONFIRMED_AFTER: Duration = HANDOVER_TIMEOUT;

/// Time between two attempts of the first node to become the controller while the store does not respond.
/// Those after it wait longer by their rank, so that the calls of a large cluster stay few.
const LOST_RETRY: Duration = Duration::from_millis(500);

/// Time from the return of the store in which the controller may say that the store responds to it,
/// too. The first node that hears of the return is not always the controller.
const RETURN_GRACE: Duration = Duration::from_millis(1_200);

/// Number of terms of an era from which its first one is taken.
const FIRST_TERMS: u64 = 1 << 13;

/// Consecutive terms with bounded leases from which no lease of an earlier version, which granted
/// longer ones, is left.
const MIN_BOUNDED: u32 = 2;

const CONTROLLER_RECORD: &str = "controller";

/// Ratio of CPU shares from which a controller yields to a stronger node.
const MIN_CPU_RATIO: u32 = 2;

/// Minimum time that a controller stays in office before it yields to a stronger node.
const MIN_TENURE: Duration = Duration::from_secs(3);

/// Campaigns to become the controller, and acts as the controller while elected. Never returns.
pub async fn run<P: Platform>(node: Rc<Node<P>>) {
    sleep(STARTUP_DELAY).await;
    loop {
        if node.control.borrow().is_leader {
            confirm_leadership(&node);
            if should_yield(&node) || should_retire(&node) {
                resign(&node).await;
            }
            if node.control.borrow().may_command(node.now()) {
                grants::run_round(&node).await;
            }
        } else if should_campaign(&node) {
            campaign(&node).await;
        }
        sleep(ROUND_INTERVAL).await;
    }
}

/// Returns whether the controller should yield to a node with a larger CPU share.
fn should_yield<P: Platform>(node: &Rc<Node<P>>) -> bool {
    let now = node.now();
    let control = node.control.borrow();
    let established = now.since(control.elected_at) > MIN_TENURE && control.may_hand_over(now);
    established && !control.resigning && !has_handovers(&control) && has_stronger_peer(node, now)
}

/// Returns whether the controller should resign because it reaches no server while another node does.
fn should_retire<P: Platform>(node: &Rc<Node<P>>) -> bool {
    if node.control.borrow().resigning || !is_outdone(node) {
        return false;
    }
    let cut_ms = cut_since(node).map_or(0, |since| node.now().since(since).as_millis() as u64);
    warn!(event = "retires", term = node.control.borrow().term, cut_ms; "this controller is cut off from all servers, and another node is not; it resigns");
    true
}

fn cut_since<P: Platform>(node: &Rc<Node<P>>) -> Option<Tick> {
    node.reach.borrow().is_cut_off()
}

/// Returns whether this node is cut off from all servers while another one, which could be the
/// controller, is not.
fn is_outdone<P: Platform>(node: &Rc<Node<P>>) -> bool {
    let peers = node.peers.borrow();
    let mut others = peers.live(node.now()).map(|(_, peer)| &peer.heartbeat);
    let is_able = |peer: &Heartbeat| !peer.cut_off && !peer.leaving && !peer.store_lost;
    cut_since(node).is_some() && others.any(is_able)
}

fn has_handovers(control: &Controller) -> bool {
    control.handovers.values().any(progress::Progress::has_unfinished)
}

/// Returns whether there seems to be no controller and it is this node's turn to campaign.
fn should_campaign<P: Platform>(node: &Rc<Node<P>>) -> bool {
    let now = node.now();
    if node.leaving.get() || is_outdone(node) {
        return false;
    }
    let control = node.control.borrow();
    if node.store_lost.get() {
        return should_probe_store(node, now, &control);
    }
    if control.dispossessed {
        return true;
    }
    let silence = now.since(control.last_heard);
    let vacant = match &control.leader {
        None => silence,
        Some(_) if control.store_age > UNCONFIRMED_AFTER => {
            let unconfirmed = control.store_age - UNCONFIRMED_AFTER;
            let since_return = now.since(node.store_recovered.get()).saturating_sub(RETURN_GRACE);
            silence.max(unconfirmed.min(since_return) + control.leader_timeout)
        }
        Some(_) => silence,
    };
    let rank = election_rank(node, now, &control);
    let delay = if control.leader.is_some() { control.leader_timeout } else { Duration::ZERO };
    vacant > delay + RANK_DELAY * rank
}

/// Returns whether it is this node's turn to campaign although the store did not respond to its last
/// call: there is no controller that would find out when it does again.
fn should_probe_store<P: Platform>(node: &Rc<Node<P>>, now: Tick, control: &Controller) -> bool {
    let rank = election_rank(node, now, control);
    let delay = if control.leader.is_some() { control.leader_timeout } else { Duration::ZERO };
    let is_vacant = now.since(control.last_heard) > delay + RANK_DELAY * rank;
    is_vacant && now.since(control.store_probed) >= LOST_RETRY * (rank + 1)
}

/// Returns the number of live nodes that campaign before this one: those with a larger CPU share,
/// and among equals those that rank first in an order drawn for each term. Nodes that are cut off from
/// all servers count only if this one is, too.
fn election_rank<P: Platform>(node: &Rc<Node<P>>, now: Tick, control: &Controller) -> u32 {
    let order = |name: &Name, share: u32| (Reverse(share), rendezvous::rank(&[name], control.term));
    let own = order(node.name(), node.settings.limits.cpu_percent);
    let leader = control.leader.as_ref().map(|(name, _)| name);
    let peers = node.peers.borrow();
    let cut_off = cut_since(node).is_some();
    let others = peers.live(now).filter(|(name, peer)| {
        !peer.heartbeat.leaving && Some(*name) != leader && (cut_off || !peer.heartbeat.cut_off)
    });
    others.filter(|(name, peer)| order(name, peer.heartbeat.cpu_share) < own).count() as u32
}

/// Returns whether a live node has at least [`MIN_CPU_RATIO`] times the CPU share of this one. Nodes
/// that are cut off from all servers count only if this one is, too.
fn has_stronger_peer<P: Platform>(node: &Rc<Node<P>>, now: Tick) -> bool {
    let share = node.settings.limits.cpu_percent;
    let peers = node.peers.borrow();
    let cut_off = cut_since(node).is_some();
    let is_able =
        |peer: &Heartbeat| !peer.leaving && !peer.store_lost && (cut_off || !peer.cut_off);
    let mut others = peers.live(now).map(|(_, peer)| &peer.heartbeat).filter(|peer| is_able(peer));
    others.any(|peer| peer.cpu_share >= share * MIN_CPU_RATIO)
}

/// Tries to become the controller.
async fn campaign<P: Platform>(node: &Rc<Node<P>>) {
    if node.store_lost.get() {
        node.control.borrow_mut().store_probed = node.now();
        node.metrics.count("store_probed");
    }
    let (known, position) = match read_record(node).await {
        Ok(found) => found,
        Err(error) => return log::debug!("cannot read the controller's record: {error}; retrying"),
    };
    node.control.borrow_mut().dispossessed = false;
    if adopt_leader(node, &known) {
        return;
    }
    let start = node.now();
    let era = position.era;
    let record = ControlRecord {
        node: node.name().to_string(),
        incarnation: node.incarnation,
        term: next_term(&known, position, node.control.borrow().term),
        era,
        restored: is_restored(&known, era, node.control.borrow().term),
        bounded: bounded_terms(node, &known, era),
        earlier: controllers_before(&known),
    };
    let value = record.encode_to_vec();
    let written = node.platform.write(Kind::Control, CONTROLLER_RECORD, position, &value).await;
    node.set_store_reachable(!matches!(
        written,
        Err(StoreError::NoResponse | StoreError::Refused { .. })
    ));
    if let Err(error) = written {
        info!(event = "place_not_taken", term = record.term; "{error}");
        sleep(RANK_DELAY.mul_f64(1.0 + fastrand::f64())).await;
        return;
    }
    let owners = follow::list_with_retry(node, Kind::Owners).await;
    follow::apply_listing(node, Kind::Owners, owners);
    if node.platform.era() != era {
        info!(event = "place_not_taken", term = record.term; "the store has come back from an older copy meanwhile");
        return;
    }
    take_office(node, &known, &record, start);
    node.store_returned.notify_waiters();
    info!(event = "controller", term = record.term, revision:% = position; "this node was elected as controller");
    restore::gather_owners(node);
}

/// Returns the term of an election that replaces the record at a position.
///
/// A late write of an earlier era may have replaced the record of a controller of this era. A term
/// that follows a record of an earlier era therefore also depends on its revision, so that no two
/// controllers have the same one.
fn next_term(known: &ControlRecord, position: Position, term: u64) -> u64 {
    let highest = known.term.max(term);
    if known.era == position.era && known.term != 0 {
        return highest + 1;
    }
    let offset = if position.era == 0 { 0 } else { position.revision % FIRST_TERMS };
    highest.max(Controller::term_floor(position.era) + offset) + 1
}

/// Returns whether the store may have lost grants before an era: a controller of an earlier era is
/// known and no record of this one says otherwise.
fn is_restored(known: &ControlRecord, era: u64, term: u64) -> bool {
    if known.era == era && known.term != 0 { known.restored } else { known.term.max(term) != 0 }
}

/// Returns how many consecutive terms have bounded leases, with one that replaces a record.
fn bounded_terms<P: Platform>(node: &Rc<Node<P>>, known: &ControlRecord, era: u64) -> u32 {
    let knows_owners = !node.view.borrow().owners.is_empty();
    if known.term == 0 && node.control.borrow().term == 0 && era == 0 && !knows_owners {
        return MIN_BOUNDED;
    }
    if known.era == era { known.bounded.saturating_add(1) } else { 1 }
}

/// Returns the controllers that may still send commands though a record is replaced now. One that has
/// resigned sends none.
fn controllers_before(known: &ControlRecord) -> Vec<ControllerRecord> {
    let mut before = known.earlier.clone();
    if known.incarnation != 0 {
        before.push(ControllerRecord { node: known.node.clone(), incarnation: known.incarnation });
    }
    before
}

/// Returns the controllers before this one that are not known to have stopped.
fn running_before(control: &Controller, now: Tick) -> Vec<ControllerRecord> {
    if now > control.elected_at + COMMAND_TIMEOUT {
        return Vec::new();
    }
    let earlier = control.earlier.iter().filter(|earlier| earlier.stopped.is_none());
    let mut running: Vec<ControllerRecord> = earlier
        .map(|earlier| ControllerRecord {
            node: earlier.name.to_string(),
            incarnation: earlier.incarnation,
        })
        .collect();
    let predecessor =
        control.predecessor.as_ref().filter(|_| control.predecessor_stopped.is_none());
    running.extend(predecessor.map(|(name, incarnation)| ControllerRecord {
        node: name.to_string(),
        incarnation: *incarnation,
    }));
    running
}

/// Makes this node the controller. `known` is the record that it replaced; one of an earlier era
/// says nothing of the last controller before this one.
fn take_office<P: Platform>(
    node: &Rc<Node<P>>,
    known: &ControlRecord,
    record: &ControlRecord,
    confirmed: Tick,
) {
    let knows_owners = !node.view.borrow().owners.is_empty();
    let mut control = node.control.borrow_mut();
    let is_current = known.era == record.era;
    let absent = known.term == 0 && control.term == 0 && !knows_owners;
    control.step_down();
    control.first = absent;
    control.restored = record.restored;
    control.is_bounded = is_current && known.bounded >= MIN_BOUNDED;
    control.term = record.term;
    control.era = record.era;
    control.is_leader = true;
    control.elected_at = node.now();
    let resigned = absent || (is_current && known.incarnation == 0);
    control.predecessor_stopped = resigned.then_some(control.elected_at);
    let predecessor = (Name::from(known.node.as_str()), known.incarnation);
    control.predecessor = Some(predecessor).filter(|_| is_current);
    control.earlier = known.earlier.iter().map(EarlierController::from).collect();
    control.confirmed = confirmed;
    control.fence_count = 0;
}

/// Adopts a controller of a newer term that the record names. Returns whether there is one; it is
/// then given time to send a heartbeat.
fn adopt_leader<P: Platform>(node: &Rc<Node<P>>, record: &ControlRecord) -> bool {
    let now = node.now();
    let mut control = node.control.borrow_mut();
    let is_current = record.era == node.platform.era();
    let newer = record.term > control.term && record.incarnation != 0 && is_current;
    if newer && record.incarnation != node.incarnation {
        control.term = record.term;
        control.leader = Some((Name::from(record.node.as_str()), record.incarnation));
        control.last_heard = now;
        control.leader_timeout = Heartbeat::default().timeout();
        control.store_age = Duration::ZERO;
        return true;
    }
    false
}

/// Reads the controller's record and its position.
async fn read_record<P: Platform>(
    node: &Rc<Node<P>>,
) -> Result<(ControlRecord, Position), StoreError> {
    let found = node.platform.read(Kind::Control, CONTROLLER_RECORD).await;
    let absent = Position::new(node.platform.era(), 0);
    node.set_store_reachable(found.is_ok());
    let Some(object) = found? else {
        return Ok((ControlRecord { era: absent.era, ..ControlRecord::default() }, absent));
    };
    let record = ControlRecord::decode(object.value.as_slice()).map_err(|error| {
        warn!(event = "bad_record"; "cannot decode the controller's record: {error}; treating it as empty");
        StoreError::Malformed
    });
    Ok((record.unwrap_or_default(), object.position))
}

/// Checks in the background with the store that this node still is the controller.
fn confirm_leadership<P: Platform>(node: &Rc<Node<P>>) {
    let now = node.now();
    {
        let mut control = node.control.borrow_mut();
        let is_old = now.since(control.confirmed) >= CONFIRM_INTERVAL;
        let is_due =
            (is_old || !control.unproven.is_empty()) && now.since(control.checked) >= CONFIRM_RETRY;
        if control.confirming || !is_due {
            return;
        }
        if !is_old {
            let unconfirmed_ms = now.since(control.confirmed).as_millis() as u64;
            info!(event = "place_checked_early", term = control.term, unconfirmed_ms; "connections to servers are newer than the last confirmation; commands to them wait for another");
        }
        control.confirming = true;
        control.checked = now;
    }
    let node = node.clone();
    spawn_local(async move {
        let found = read_record(&node).await;
        let is_own = {
            let mut control = node.control.borrow_mut();
            control.confirming = false;
            let Ok((record, _)) = &found else { return };
            let is_own = record.term == control.term && record.incarnation == node.incarnation;
            if control.is_leader && is_own {
                control.confirmed = now;
                control.unproven.clear();
            } else if control.is_leader {
                control.depose(record.term);
            }
            control.is_leader && is_own
        };
        if let Ok((record, position)) = found
            && is_own
        {
            record_ends(&node, record, position).await;
        }
    });
}

/// Takes the controllers that have stopped out of this controller's record, for the next one.
async fn record_ends<P: Platform>(
    node: &Rc<Node<P>>,
    mut record: ControlRecord,
    position: Position,
) {
    let running = running_before(&node.control.borrow(), node.now());
    if record.earlier == running {
        return;
    }
    record.earlier = running;
    let value = record.encode_to_vec();
    if let Err(error) =
        node.platform.write(Kind::Control, CONTROLLER_RECORD, position, &value).await
    {
        log::debug!("cannot write the controller's record: {error}; trying again later");
    }
}

/// Resigns in the store, so that another node can take over at once. No commands are sent from the
/// start of the call on: the next controller may be elected before the store's response arrives.
pub async fn resign<P: Platform>(node: &Rc<Node<P>>) {
    if !node.control.borrow().is_leader {
        return;
    }
    node.control.borrow_mut().resigning = true;
    let Ok((mut record, position)) = read_record(node).await else {
        node.control.borrow_mut().resigning = node.leaving.get();
        return;
    };
    if record.incarnation != node.incarnation {
        return;
    }
    record.node.clear();
    record.incarnation = 0;
    record.earlier = running_before(&node.control.borrow(), node.now());
    let value = record.encode_to_vec();
    let written =
        node.platform.write(Kind::Control, CONTROLLER_RECORD, position, &value).await.is_ok();
    info!(event = "resigned", term = record.term, written; "this node resigned as controller");
    node.control.borrow_mut().step_down();
    peers::send_heartbeats(node, node.now());
}

impl From<&ControllerRecord> for EarlierController {
    fn from(record: &ControllerRecord) -> Self {
        let (name, incarnation) = (Name::from(record.node.as_str()), record.incarnation);
        Self { name, incarnation, stopped: None }
    }
}
