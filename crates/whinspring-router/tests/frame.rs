//! Compression of long messages between nodes.

use {
    prost::Message,
    rand::{Rng, SeedableRng},
    rand_chacha::ChaCha8Rng,
    whinspring_router::{
        frame::{self, Frame, MAX_MESSAGE_BYTES},
        message::{Body, Envelope, Item, Packed, Snapshot},
    },
};

fn snapshot(value: Vec<u8>) -> Body {
    let items = vec![Item { name: "main".into(), revision: 7, value, ..Item::default() }];
    Body::Snapshot(Snapshot {
        kind: 1,
        revision: 7,
        items,
        synced_revision: 9,
        ..Snapshot::default()
    })
}

/// Returns a configuration as operators write it: the same fields for each route, with names that
/// are drawn at random.
fn configuration(routes: usize) -> Vec<u8> {
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let mut route = || {
        let (host, path): (u16, u32) = (rng.random(), rng.random());
        format!(
            r#"{{"Name":"r{path:08x}","Host":"h{host:04x}.example","PathPrefix":"/p{path:08x}/","Kind":"safe","Priority":1,"Service":"reserve","MaxAttempts":3,"TimeoutS":3000,"TargetLatencyS":800}}"#
        )
    };
    (0..routes).map(|_| route()).collect::<Vec<_>>().join(",").into_bytes()
}

fn decode(bytes: &[u8]) -> Body {
    Envelope::decode(bytes).unwrap().body.unwrap()
}

/// Load pattern: a configuration of a megabyte has to reach all nodes of a failure domain, twice,
/// over links of 10 Mbit/s.
#[test]
fn a_large_configuration_is_sent_in_a_fifth_of_its_length() {
    let body = snapshot(configuration(4_200));
    let frame = Frame::new(body.clone());
    let (plain, packed) = (frame.bytes(false), frame.bytes(true));
    assert!(packed.len() * 5 < plain.len(), "{} of {} bytes", packed.len(), plain.len());
    let Body::Packed(packed) = decode(packed) else { panic!("expected a compressed message") };
    assert_eq!(frame::unpack(&packed).unwrap().body, Some(body.clone()));
    assert_eq!(decode(plain), body, "a node that does not accept compressed messages");
}

#[test]
fn messages_that_gain_nothing_are_sent_as_they_are() {
    let mut noise = vec![0; 100_000];
    ChaCha8Rng::seed_from_u64(1).fill(&mut noise[..]);
    for value in [vec![0; 100], noise] {
        let frame = Frame::new(snapshot(value));
        assert_eq!(frame.bytes(true), frame.bytes(false));
    }
}

#[test]
fn malformed_and_oversized_messages_are_rejected() {
    let noise = Packed { deflated: vec![0xff; 64] };
    assert!(frame::unpack(&noise).is_err());
    let frame = Frame::new(snapshot(vec![0; MAX_MESSAGE_BYTES]));
    let Body::Packed(bomb) = decode(frame.bytes(true)) else {
        panic!("expected a compressed message")
    };
    assert!(frame::unpack(&bomb).is_err(), "{} bytes", bomb.deflated.len());
}
