//! What a node believes after the store has come back from an older copy of itself.

use {
    std::{collections::HashMap, rc::Rc, time::Duration},
    whinspring::{
        name::Name,
        notices::{Purpose, Refusal},
        ranges::{Instance, Ownership},
        routes::{Limits, RouteTable},
        time::Tick,
    },
    whinspring_http::clock::Clock,
    whinspring_router::{
        cluster::ClusterState,
        message::Heartbeat,
        platform::{Changes, Dialect, Headers, Kind, Listing, Object, Position, ServerEntry},
    },
};

/// Time in which entries that lapsed during an outage are back.
const GRACE: Duration = Duration::from_millis(2_000);

/// Time after which an entry that came back counts again.
const RETURN_DELAY: Duration = Duration::from_secs(10);

/// Routes are a version; an entry is whether the server leaves, and its start time. An entry without
/// a start time is malformed.
struct Format;

impl Dialect for Format {
    fn headers(&self) -> &Headers {
        unreachable!("the view needs no headers")
    }

    fn ready_path(&self) -> &str {
        "/ready"
    }

    fn parse_routes(&self, object: &Object) -> Option<RouteTable> {
        let version = u64::from(*object.value.first()?);
        Some(RouteTable::new(version, Vec::new(), HashMap::new(), Limits::default()))
    }

    fn parse_server(&self, object: &Object) -> Option<ServerEntry> {
        let start_ms = u64::from(*object.value.get(1)?);
        Some(ServerEntry {
            service: "bays".into(),
            addr: ([10, 0, 0, 1], 80).into(),
            domain: "a".into(),
            slots: 2,
            leaving: object.value[0] == 1,
            warmup: Duration::ZERO,
            start_ms,
        })
    }

    fn is_leaving(&self, object: &Object) -> bool {
        object.value[0] == 1
    }
}

/// Time between two checks for servers that are gone.
const SWEEP: Duration = Duration::from_millis(200);

/// The view of a node and its clock.
struct Rig {
    view: ClusterState,
    format: Format,
    clock: Clock,
}

impl Rig {
    fn new() -> Self {
        Self { view: ClusterState::default(), format: Format, clock: Clock::start() }
    }

    /// Lists a kind at a position; each item is a name, a revision and a value.
    fn list(&mut self, kind: Kind, position: Position, items: &[(&str, u64, &[u8])]) {
        let items = items.iter().map(|item| object(position.era, item)).collect();
        let listing = Listing { position, items };
        self.view.apply_listing(kind, listing, None, &self.format, self.clock);
    }

    /// Applies one change.
    fn change(&mut self, kind: Kind, era: u64, item: &(&str, u64, &[u8])) {
        let position = Position::new(era, item.1);
        let changes = Changes { position, events: vec![(object(era, item), false)] };
        self.view.apply_changes(kind, changes, &self.format, self.clock);
    }

    fn version(&self) -> u64 {
        self.view.routes.as_ref().unwrap().version
    }

    /// Removes servers that are gone; the store was never away.
    fn sweep(&mut self, now: Tick) {
        self.view.sweep(now, Tick::default(), self.clock);
    }

    /// Checks whether a request for a key may go to a server now.
    fn check(&self, server: &str) -> Result<(), Refusal> {
        let drain = Duration::from_secs(2);
        self.view.notices.check(&server.into(), Purpose::Start, self.clock.now(), drain)
    }

    /// Returns a time at which no grace applies any more.
    fn later(&self) -> Tick {
        self.clock.now() + Duration::from_secs(5)
    }
}

fn object(era: u64, (name, revision, value): &(&str, u64, &[u8])) -> Object {
    Object { name: (*name).into(), position: Position::new(era, *revision), value: value.to_vec() }
}

fn at(era: u64, revision: u64) -> Position {
    Position::new(era, revision)
}

#[test]
fn positions_are_ordered_by_era_first() {
    assert!(at(2, 1) > at(1, 900));
    assert!(at(2, 2) > at(2, 1));
    assert_eq!((at(0, 7).to_string(), at(3, 7).to_string()), ("7".into(), "3/7".into()));
    let heartbeat = Heartbeat { servers: 4, servers_era: 2, ..Heartbeat::default() };
    assert_eq!(heartbeat.position(Kind::Servers), at(2, 4));
}

#[test]
fn what_is_listed_in_a_new_era_replaces_what_was_known() {
    let mut rig = Rig::new();
    rig.list(Kind::Servers, at(1, 90), &[("s1", 80, &[0, 0]), ("s2", 90, &[0, 0])]);
    let copy = [("s1", 50, &[1, 0][..])];
    let listing = Listing { position: at(2, 60), items: vec![object(2, &copy[0])] };
    let loss = rig.view.loss(Kind::Servers, &listing).unwrap();
    assert_eq!((loss.before, loss.gone, loss.reverted), (at(1, 90), 1, 1));
    rig.list(Kind::Servers, at(2, 60), &copy);
    assert!(rig.view.notices.leaving_since(&"s1".into()).is_some());
    assert!(rig.view.servers["s2"].missing.is_some());
    assert_eq!(rig.view.synced(Kind::Servers), at(2, 60));
    rig.list(Kind::Servers, at(1, 95), &[("s3", 95, &[0, 0])]);
    assert!(!rig.view.servers.contains_key("s3"), "a late listing of the old era");
    rig.change(Kind::Servers, 2, &("s2", 61, &[0, 0]));
    assert!(rig.view.servers["s2"].missing.is_none(), "a revision that was given out before");
}

#[test]
fn entries_that_the_store_has_lost_count_as_lapsed() {
    let mut rig = Rig::new();
    rig.list(Kind::Servers, at(1, 90), &[("s1", 90, &[0, 0])]);
    rig.list(Kind::Servers, at(2, 60), &[]);
    let back = rig.clock.now();
    rig.view.sweep(back + GRACE, back, rig.clock);
    assert!(rig.view.servers.contains_key("s1"));
    rig.view.sweep(back + GRACE * 2, back, rig.clock);
    assert!(!rig.view.servers.contains_key("s1"));
}

/// Guards against requests to a server that was seen to be gone before the store fell silent.
#[test]
fn an_outage_does_not_bring_back_a_server_that_was_seen_to_be_gone() {
    let mut rig = Rig::new();
    rig.list(Kind::Servers, at(0, 90), &[("s1", 90, &[0, 0])]);
    rig.list(Kind::Servers, at(0, 91), &[]);
    let gone = rig.clock.now() + GRACE * 2;
    rig.view.servers.get_mut("s1").unwrap().missing = Some(gone);
    rig.view.sweep(gone + SWEEP, Tick::default(), rig.clock);
    assert!(rig.view.servers.contains_key("s1"), "its keys are being moved");
    let silent = gone + SWEEP * 2;
    rig.view.sweep(silent, silent, rig.clock);
    assert!(!rig.view.servers.contains_key("s1"));
}

/// Also for nodes that hear of it from this one, until the operator has written it again.
#[test]
fn a_lower_version_of_the_routes_does_not_come_back() {
    let mut rig = Rig::new();
    rig.list(Kind::Routes, at(1, 90), &[("main", 90, &[7])]);
    rig.list(Kind::Routes, at(2, 60), &[("main", 40, &[5])]);
    assert_eq!(rig.version(), 7);
    let sent = rig.view.snapshot(Kind::Routes);
    assert_eq!((sent.era, sent.revision, sent.items[0].value.as_slice()), (2, 40, &[7][..]));
    rig.change(Kind::Routes, 2, &("main", 61, &[6]));
    assert_eq!(rig.version(), 7);
    assert_eq!(rig.view.snapshot(Kind::Routes).items[0].value, [7]);
    rig.change(Kind::Routes, 2, &("main", 62, &[9]));
    assert_eq!(rig.version(), 9);
    assert_eq!(rig.view.snapshot(Kind::Routes).items[0].value, [9]);
}

#[test]
fn a_server_that_was_seen_leaving_leaves() {
    let mut rig = Rig::new();
    rig.list(Kind::Servers, at(1, 90), &[("s1", 90, &[1, 4])]);
    rig.list(Kind::Servers, at(2, 60), &[("s1", 50, &[0, 4])]);
    assert!(rig.view.notices.leaving_since(&"s1".into()).is_some());
    rig.change(Kind::Servers, 2, &("s1", 61, &[0, 5]));
    assert!(rig.view.notices.leaving_since(&"s1".into()).is_none(), "another life");
    rig.list(Kind::Servers, at(3, 55), &[("s1", 50, &[0, 4])]);
    assert_eq!(rig.view.servers["s1"].entry.start_ms, 5, "a former life does not come back");
}

/// Guards against a drain that is counted from when a node learned of it: the node may have started
/// long after the notice.
#[test]
fn a_server_that_leaves_when_a_node_starts_gets_no_request() {
    let mut rig = Rig::new();
    rig.list(Kind::Servers, at(0, 90), &[("s1", 90, &[1, 0]), ("s2", 80, &[0, 0])]);
    assert_eq!(rig.check("s1"), Err(Refusal::Left));
    assert_eq!(rig.check("s2"), Ok(()));
}

/// The node did not hear from the store for some time, and lists it again.
#[test]
fn a_notice_in_a_new_listing_is_as_old_as_the_last_word_of_the_store() {
    let mut rig = Rig::new();
    rig.list(Kind::Servers, at(0, 80), &[("s1", 80, &[0, 0])]);
    let confirmed = Tick::from_millis(1);
    rig.view.confirm(Kind::Servers, confirmed);
    std::thread::sleep(Duration::from_millis(5));
    rig.list(Kind::Servers, at(0, 90), &[("s1", 90, &[1, 0])]);
    assert_eq!(rig.view.notices.leaving_since(&"s1".into()), Some(confirmed));
}

/// The sender of a snapshot may not know how old a notice is.
#[test]
fn a_notice_in_a_snapshot_is_as_old_as_the_last_word_of_the_store() {
    let mut rig = Rig::new();
    rig.list(Kind::Servers, at(0, 80), &[("s1", 80, &[0, 0])]);
    let confirmed = Tick::from_millis(1);
    rig.view.confirm(Kind::Servers, confirmed);
    std::thread::sleep(Duration::from_millis(5));
    let items = vec![object(0, &("s1", 90, &[1, 0]))];
    let listing = Listing { position: at(0, 90), items };
    rig.view.apply_listing(Kind::Servers, listing, Some(at(0, 90)), &rig.format, rig.clock);
    assert_eq!(rig.view.notices.leaving_since(&"s1".into()), Some(confirmed));
}

/// Guards against a notice that is ignored because another field of the entry is missing or of
/// another type.
#[test]
fn a_malformed_entry_that_says_that_its_server_leaves_counts() {
    let mut rig = Rig::new();
    rig.list(Kind::Servers, at(0, 80), &[("s1", 80, &[0, 0])]);
    rig.change(Kind::Servers, 0, &("s1", 81, &[0]));
    assert_eq!(rig.view.notices.leaving_since(&"s1".into()), None);
    assert!(rig.view.servers.contains_key("s1"), "it is used as it was known");
    rig.change(Kind::Servers, 0, &("s1", 82, &[1]));
    assert!(rig.view.notices.leaving_since(&"s1".into()).is_some());
    rig.change(Kind::Servers, 0, &("s2", 83, &[1]));
    assert!(!rig.view.servers.contains_key("s2"));
}

#[test]
fn a_server_that_has_ended_is_used_again_only_if_it_shows_that_it_lives() {
    for writes in [true, false] {
        let mut rig = Rig::new();
        rig.list(Kind::Servers, at(1, 80), &[("s1", 80, &[0, 4])]);
        rig.list(Kind::Servers, at(1, 90), &[]);
        rig.sweep(rig.later());
        rig.list(Kind::Servers, at(2, 85), &[("s1", 80, &[0, 4])]);
        assert!(!rig.view.servers.contains_key("s1"), "it was seen to end");
        if writes {
            rig.change(Kind::Servers, 2, &("s1", 86, &[0, 4]));
        } else {
            rig.sweep(rig.clock.now() + RETURN_DELAY * 2);
        }
        assert!(rig.view.servers.contains_key("s1"));
    }
}

/// Guards against a drain that begins anew: the server left without a notice, or the store lost it.
#[test]
fn a_server_that_comes_back_and_leaves_does_not_drain_again() {
    for is_removed in [false, true] {
        let mut rig = Rig::new();
        rig.list(Kind::Servers, at(1, 80), &[("s1", 80, &[0, 4])]);
        rig.list(Kind::Servers, at(1, 90), &[]);
        let gone = rig.clock.now();
        if is_removed {
            rig.sweep(rig.later());
            rig.list(Kind::Servers, at(2, 85), &[("s1", 80, &[0, 4])]);
        }
        std::thread::sleep(Duration::from_millis(5));
        rig.change(Kind::Servers, 2, &("s1", 86, &[1, 4]));
        let since = rig.view.notices.leaving_since(&"s1".into()).unwrap();
        assert!(since <= gone, "{since:?}, gone {gone:?}");
    }
}

#[test]
fn an_ended_server_whose_entry_expires_again_stays_gone() {
    let mut rig = Rig::new();
    rig.list(Kind::Servers, at(1, 80), &[("s1", 80, &[0, 4])]);
    rig.list(Kind::Servers, at(1, 90), &[]);
    rig.sweep(rig.later());
    rig.list(Kind::Servers, at(2, 85), &[("s1", 80, &[0, 4])]);
    rig.list(Kind::Servers, at(2, 95), &[]);
    rig.sweep(rig.clock.now() + RETURN_DELAY * 2);
    assert!(!rig.view.servers.contains_key("s1"));
}

/// Owners are ordered by term and by revision within it: a term lies in one era.
#[test]
fn older_owners_of_the_copy_do_not_replace_newer_ones() {
    let service = Name::from("bays");
    let owned = |term, server: &str| {
        let owners = [Instance { server: server.into(), start_ms: 0 }];
        Rc::new(Ownership::split_evenly(term, &owners, || 1))
    };
    let owner = |view: &ClusterState| view.owners[&service].1.spans[0].owner.server.clone();
    let mut view = ClusterState::default();
    view.apply_owners(service.clone(), at(1, 100), owned(5, "s1"), Tick::default());
    view.apply_owners(service.clone(), at(2, 90), owned(5, "s2"), Tick::default());
    assert_eq!(owner(&view), "s1", "the copy is older");
    assert_eq!(view.stored_position(Kind::Owners, &service, 2), at(2, 90));
    assert_eq!(view.stored_position(Kind::Owners, &service, 3), at(3, 0));
    view.apply_owners(service.clone(), at(2, 91), owned(9, "s3"), Tick::default());
    view.apply_owners(service.clone(), at(2, 120), owned(5, "s4"), Tick::default());
    assert_eq!(owner(&view), "s3", "a late write of the earlier term");
    assert_eq!(view.stored_position(Kind::Owners, &service, 2), at(2, 120));
}
