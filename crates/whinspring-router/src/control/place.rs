//! Who is the controller: taking the place, keeping it and giving it up.
//!
//! The place is a record in the store that is changed by conditional writes only. A node tries to
//! take it when the controller has fallen silent, was long not confirmed by the store, or has
//! resigned; those with more processor time try first.

use {
    super::{Controller, grants, moves},
    crate::{
        follow,
        message::Beat,
        node::Node,
        peers,
        platform::{Kind, Platform, StoreError},
        record::ControlRecord,
    },
    log::{info, warn},
    prost::Message,
    std::{cmp::Reverse, rc::Rc, time::Duration},
    tokio::{task::spawn_local, time::sleep},
    whinspring::{name::Name, rendezvous, time::Tick},
};

/// Time between two looks at what is to be done.
const ROUND: Duration = Duration::from_millis(100);

/// Time after the start of the process before it looks for a controller.
const START_PAUSE: Duration = Duration::from_millis(600);

/// Time that each node waits longer than the one before it.
const RANK_PAUSE: Duration = Duration::from_millis(350);

/// Time between two confirmations by the store that the controller is in place.
const CONFIRM_EVERY: Duration = Duration::from_millis(1_500);

/// Time without a confirmation after which other nodes may try to take the place.
const DOUBTED_AFTER: Duration = Duration::from_millis(3_500);

/// Name of the controller's record.
const RECORD: &str = "controller";

/// Times as much processor time for which the place is left to another node.
const STRONGER: u32 = 2;

/// Time for which a controller keeps its place in any case.
const PLACE_KEPT: Duration = Duration::from_secs(3);

/// Takes or keeps the controller's place, for ever.
pub async fn run<P: Platform>(node: Rc<Node<P>>) {
    sleep(START_PAUSE).await;
    loop {
        if node.control.borrow().leads {
            confirm(&node);
            if hands_place_on(&node) {
                resign(&node).await;
            }
            if node.control.borrow().may_order(node.now()) {
                grants::round(&node).await;
            }
        } else if wants_place(&node) {
            take_place(&node).await;
        }
        sleep(ROUND).await;
    }
}

/// Returns whether the controller is to leave its place to a node with more processor time.
fn hands_place_on<P: Platform>(node: &Rc<Node<P>>) -> bool {
    let now = node.now();
    let control = node.control.borrow();
    let settled = now.since(control.since) > PLACE_KEPT && control.may_move(now);
    settled && !control.resigning && !is_busy(&control) && is_weak(node, now)
}

/// Returns whether hand-overs are under way.
fn is_busy(control: &Controller) -> bool {
    control.moves.values().any(moves::Progress::is_busy)
}

/// Returns whether the controller's place looks vacant and it is this node's turn to take it.
fn wants_place<P: Platform>(node: &Rc<Node<P>>) -> bool {
    let now = node.now();
    if node.leaving.get() || node.store_lost.get() {
        return false;
    }
    let control = node.control.borrow();
    let silent = now.since(control.heard);
    let vacant = match &control.chief {
        None => silent,
        Some(_) if control.doubt > DOUBTED_AFTER => control.doubt - DOUBTED_AFTER + control.silence,
        Some(_) => silent,
    };
    let rank = rank(node, now, &control);
    let pause = if control.chief.is_some() { control.silence } else { Duration::ZERO };
    vacant > pause + RANK_PAUSE * rank
}

/// Returns the number of live nodes that come before this one: those with more processor time, and
/// an order drawn for each term among equals.
fn rank<P: Platform>(node: &Rc<Node<P>>, now: Tick, control: &Controller) -> u32 {
    let order = |name: &Name, share: u32| (Reverse(share), rendezvous::rank(&[name], control.term));
    let own = order(node.name(), node.settings.limits.share_percent);
    let chief = control.chief.as_ref().map(|(name, _)| name);
    let peers = node.peers.borrow();
    let others = peers.live(now).filter(|(name, peer)| !peer.beat.leaving && Some(*name) != chief);
    others.filter(|(name, peer)| order(name, peer.beat.share) < own).count() as u32
}

/// Returns whether a node with much more processor time is there to be the controller.
fn is_weak<P: Platform>(node: &Rc<Node<P>>, now: Tick) -> bool {
    let share = node.settings.limits.share_percent;
    let peers = node.peers.borrow();
    let mut others = peers.live(now).filter(|(_, peer)| !peer.beat.leaving && !peer.beat.cut_off);
    others.any(|(_, peer)| peer.beat.share >= share * STRONGER)
}

/// Tries to become the controller.
async fn take_place<P: Platform>(node: &Rc<Node<P>>) {
    let (known, revision) = match read(node).await {
        Ok(found) => found,
        Err(error) => return log::debug!("the controller's record cannot be read: {error}"),
    };
    if adopt(node, &known) {
        return;
    }
    let asked = node.now();
    let record = ControlRecord {
        node: node.name().to_string(),
        incarnation: node.incarnation,
        term: known.term.max(node.control.borrow().term) + 1,
    };
    let value = record.encode_to_vec();
    let written = node.platform.write(Kind::Control, RECORD, revision, &value).await;
    node.note_store(!matches!(written, Err(StoreError::Silent | StoreError::Refused { .. })));
    if let Err(error) = written {
        info!(event = "place_not_taken", term = record.term; "{error}");
        sleep(RANK_PAUSE.mul_f64(1.0 + fastrand::f64())).await;
        return;
    }
    let owners = follow::learn(node, Kind::Owners).await;
    follow::replace(node, Kind::Owners, owners);
    let mut control = node.control.borrow_mut();
    control.step_down();
    control.term = record.term;
    control.leads = true;
    control.since = node.now();
    control.quiet = (known.incarnation == 0).then_some(control.since);
    control.previous = Some((Name::from(known.node), known.incarnation));
    control.confirmed = asked;
    control.fences = 0;
    info!(event = "controller", term = record.term, revision; "this node grants keys now");
}

/// Takes note of a controller that the record names and that was not known; returns whether there
/// is one, which then gets the time to be heard.
fn adopt<P: Platform>(node: &Rc<Node<P>>, record: &ControlRecord) -> bool {
    let now = node.now();
    let mut control = node.control.borrow_mut();
    let newer = record.term > control.term && record.incarnation != 0;
    if newer && record.incarnation != node.incarnation {
        control.term = record.term;
        control.chief = Some((Name::from(record.node.as_str()), record.incarnation));
        control.heard = now;
        control.silence = Beat::default().lost_after();
        control.doubt = Duration::ZERO;
        return true;
    }
    false
}

/// Reads the controller's record and its revision.
async fn read<P: Platform>(node: &Rc<Node<P>>) -> Result<(ControlRecord, u64), StoreError> {
    let found = node.platform.read(Kind::Control, RECORD).await;
    node.note_store(found.is_ok());
    let Some(object) = found? else { return Ok((ControlRecord::default(), 0)) };
    let record = ControlRecord::decode(object.value.as_slice()).map_err(|error| {
        warn!(event = "bad_record"; "the controller's record cannot be read: {error}");
        StoreError::Malformed
    });
    Ok((record.unwrap_or_default(), object.revision))
}

/// Asks the store in the background whether this node still is the controller.
fn confirm<P: Platform>(node: &Rc<Node<P>>) {
    let now = node.now();
    {
        let mut control = node.control.borrow_mut();
        if control.confirming || now.since(control.confirmed) < CONFIRM_EVERY {
            return;
        }
        control.confirming = true;
    }
    let node = node.clone();
    spawn_local(async move {
        let found = read(&node).await;
        let mut control = node.control.borrow_mut();
        control.confirming = false;
        let Ok((record, _)) = found else { return };
        if record.term == control.term && record.incarnation == node.incarnation {
            control.confirmed = now;
        } else if control.leads {
            control.depose(record.term);
        }
    });
}

/// Gives the place up in the store, so that another node takes it at once; no orders are given from
/// now on, as the answer may come later than the other node.
pub async fn resign<P: Platform>(node: &Rc<Node<P>>) {
    if !node.control.borrow().leads {
        return;
    }
    node.control.borrow_mut().resigning = true;
    let Ok((mut record, revision)) = read(node).await else {
        node.control.borrow_mut().resigning = node.leaving.get();
        return;
    };
    if record.incarnation != node.incarnation {
        return;
    }
    record.node.clear();
    record.incarnation = 0;
    let value = record.encode_to_vec();
    let written = node.platform.write(Kind::Control, RECORD, revision, &value).await.is_ok();
    info!(event = "resigned", term = record.term, written; "this node grants keys no more");
    node.control.borrow_mut().step_down();
    peers::send_beats(node, node.now());
}
