//! Settings, the retry budget, crashing requests, records of owners and finished handovers.

use {
    prost::Message,
    std::{net::SocketAddr, rc::Rc, time::Duration},
    whinspring::{
        name::Name,
        ranges::{HandoverKey, Instance, Ownership},
        time::Tick,
    },
    whinspring_router::{
        cluster::ClusterState,
        crashes::Crashes,
        platform::{Location, Position},
        record::OwnersRecord,
        retries::RetryBudget,
        settings::Settings,
    },
};

const SETTINGS: &str = "[node]\nname = n1\ndomain = a\ncaller = 10.0.0.1:80\nready = 10.0.0.1:81\n\
    peer = 10.0.0.1:82\nmetrics = 10.0.0.1:83\nstore = 10.0.0.9:1\n";

#[test]
fn settings_have_defaults() {
    let settings = Settings::parse(SETTINGS).unwrap();
    assert_eq!(settings.limits.grace, Duration::from_secs(6));
    let text = format!("{SETTINGS}[limits]\ngrace_s = 2.5\nretry_ratio = 0.3\n");
    let limits = Settings::parse(&text).unwrap().limits;
    assert_eq!((limits.grace, limits.retry_ratio), (Duration::from_millis(2_500), 0.3));
}

#[test]
fn requests_are_relayed_on_the_port_after_that_of_links() {
    let settings = Settings::parse(SETTINGS).unwrap();
    assert_eq!(settings.relay, "10.0.0.1:83".parse().unwrap());
    assert_eq!(settings.advertised_relay, settings.relay);
    let text = format!("{SETTINGS}relay = 10.0.0.1:90\nadvertised_relay = 10.0.0.8:91\n");
    let settings = Settings::parse(&text).unwrap();
    assert_eq!(settings.relay, "10.0.0.1:90".parse().unwrap());
    assert_eq!(settings.advertised_relay, "10.0.0.8:91".parse().unwrap());
}

#[test]
fn every_fault_of_the_settings_is_reported() {
    let text = "[node]\nname = n1\nstore = here\ncolour = red\n[limits]\nretry_ratio = 7\n[more]\n";
    let faults = Settings::parse(text).unwrap_err();
    let named = |key: &str| faults.iter().any(|fault| fault.key == key);
    for key in ["store", "colour", "retry_ratio", "domain", "caller", "ready", "peer", "metrics"] {
        assert!(named(key), "{key}: {faults:?}");
    }
    assert!(faults.iter().any(|fault| fault.section == "more"), "{faults:?}");
}

/// Guards against nodes that together exceed the budget when each uses up its share.
#[test]
fn nodes_share_the_retry_budget() {
    const NODES: usize = 8;
    let mut retried = 0;
    for node in 0..NODES {
        let mut retries = RetryBudget::default();
        for index in 0..1_000u64 {
            let now = Tick::from_millis(index * 10 + node as u64);
            retries.record_request(now, &"s".into());
            retried += u32::from(retries.allow(now, &"s".into(), NODES, 0.2, 56.0));
        }
    }
    assert!(retried <= 8_000 / 5 + 56, "{retried}");
    assert!(retried > 1_000, "{retried}");
}

#[test]
fn a_request_that_crashes_servers_is_rejected() {
    let mut crashes = Crashes::default();
    let now = Tick::from_millis(1);
    crashes.record(now, 7);
    assert!(!crashes.is_refused(now, 7));
    crashes.record(now, 7);
    assert!(crashes.is_refused(now, 7) && !crashes.is_refused(now, 8));
    assert!(!crashes.is_refused(now + Duration::from_secs(61), 7));
}

/// Guards against a crash that is withdrawn before the entry of its server can have expired: while the
/// store is away entries stand though their servers have crashed.
#[test]
fn a_crash_is_withdrawn_only_once_the_store_was_calm_for_long_enough() {
    let at = Tick::from_millis;
    let server = |start_ms| Instance { server: "s1".into(), start_ms };
    let mut crashes = Crashes::default();
    crashes.suspect(at(1_000), 7, server(1));
    crashes.suspect(at(2_000), 7, server(2));
    assert!(crashes.withdraw(at(8_999), at(0), |_| true).is_empty());
    assert!(crashes.withdraw(at(12_999), at(5_000), |_| true).is_empty());
    assert!(crashes.is_refused(at(12_999), 7));
    assert_eq!(crashes.withdraw(at(13_000), at(5_000), |it| *it == server(2)), [7]);
    assert!(!crashes.is_refused(at(13_000), 7) && !crashes.is_empty());
    assert!(crashes.withdraw(at(30_000), at(5_000), |_| true).is_empty());
}

/// Guards against rejections that last longer at nodes that were told of the crashes, and against a message
/// that grows with the number of requests.
#[test]
fn the_last_crashes_are_told_with_the_time_that_is_left() {
    let at = Tick::from_millis;
    let mut known = Crashes::default();
    for print in 0..500 {
        known.record(at(print), print);
        known.record(at(print), print);
    }
    let told = known.recent(at(500));
    assert_eq!(told.len(), 128);
    assert!(told.iter().all(|crash| crash.print >= 372));
    let mut other = Crashes::default();
    told.into_iter().for_each(|crash| other.merge(at(500), crash));
    assert!(other.is_refused(at(500), 499) && !other.is_refused(at(500), 371));
    assert!(!other.is_refused(at(499) + Duration::from_secs(60), 499));
    assert!(known.recent(at(500) + Duration::from_secs(61)).is_empty());
}

fn owners() -> Ownership {
    let instances: Vec<Instance> = (0..3)
        .map(|index| Instance { server: format!("s{index}").into(), start_ms: index })
        .collect();
    let mut fence = 0;
    Ownership::split_evenly(4, &instances, || {
        fence += 64;
        fence
    })
}

#[test]
fn owners_are_encoded_and_decoded() {
    let mut owned = owners();
    owned.spans[1].former = Some(Instance { server: "s9".into(), start_ms: 9 });
    let bytes = OwnersRecord::from(&owned).encode_to_vec();
    let record = OwnersRecord::decode(bytes.as_slice()).unwrap();
    assert_eq!(Ownership::try_from(record).unwrap(), owned);
}

/// Guards against a record that outgrows what the store takes because it names thousands of locations.
#[test]
fn owners_name_the_locations_of_their_servers_unless_there_are_too_many() {
    let addr = SocketAddr::from(([10, 0, 0, 1], 8_000));
    let location = Location { addr, domain: "eu-central-a".into() };
    for (count, named) in [(3, 3), (4_000, 4_000), (10_000, 0)] {
        let instances: Vec<Instance> = (0..count)
            .map(|index| Instance { server: format!("i-{index:010}").into(), start_ms: 1 << 40 })
            .collect();
        let owned = Ownership::split_evenly(4, &instances, || 1 << 40);
        let record = OwnersRecord::with_locations(&owned, |_| Some(location.clone()));
        let bytes = record.encode_to_vec();
        assert!(bytes.len() < 1 << 20, "{count} servers take {} bytes", bytes.len());
        let read = OwnersRecord::decode(bytes.as_slice()).unwrap();
        assert_eq!(read.locations().count(), named);
        assert_eq!(Ownership::try_from(read).unwrap(), owned);
    }
}

#[test]
fn owners_with_a_gap_are_rejected() {
    let mut record = OwnersRecord::from(&owners());
    record.spans.remove(1);
    assert!(Ownership::try_from(record).is_err());
}

#[test]
fn only_changed_owners_are_sent() {
    let before = owners();
    let mut after = before.clone();
    let range = after.split_range(30_000, 30_100);
    for span in &mut after.spans[range] {
        span.former = Some(std::mem::replace(&mut span.owner, before.spans[0].owner.clone()));
        span.fence = 9_000;
    }
    let changed = after.changed_since(&before);
    assert!(changed.len() <= 3, "{changed:?}");
    let mut other = before;
    other.apply(changed);
    assert_eq!(other.spans, after.spans);
}

/// Load pattern: many ranges change hands, and the write that ends their handovers is slow.
#[test]
fn keys_have_an_owner_again_before_the_store_knows_of_the_handover() {
    let service = Name::from("bays");
    let mut owned = owners();
    owned.spans[1].former = Some(owned.spans[0].owner.clone());
    let moved = owned.spans[1].clone();
    let mut view = ClusterState::default();
    view.apply_owners(
        service.clone(),
        Position::new(0, 5),
        Rc::new(owned.clone()),
        Tick::default(),
    );
    assert!(view.granted_span(&service, moved.first).is_none());
    assert!(view.granted_span(&service, 0).is_some());

    let older = HandoverKey { fence: moved.fence - 1, ..moved.handover() };
    view.note_handovers(&service, &[older]);
    assert!(view.granted_span(&service, moved.first).is_none(), "an older handover");
    view.note_handovers(&service, &[moved.handover()]);
    assert_eq!(view.granted_span(&service, moved.last), Some(&moved));

    owned.spans[1].fence += 64;
    view.apply_owners(service.clone(), Position::new(0, 6), Rc::new(owned), Tick::default());
    assert!(view.granted_span(&service, moved.first).is_none(), "another handover has begun");
}
