//! What earlier versions send and store, read by this one.
//!
//! Each golden file holds one of every message and record as that version encodes it, in hexadecimal
//! digits. Its file name is the commit of the version; it never changes.

use {
    prost::Message,
    std::fmt::Debug,
    whinspring_router::{
        message::{
            Admit, Admitted, Body, Envelope, Heartbeat, KeyLoad, ServerLatency, ServerLimit,
        },
        record::{ControlRecord, NodeRecord, OwnersRecord},
    },
};

/// The golden files by commit, oldest first.
const VERSIONS: [(&str, &str); 3] = [
    ("647a33d", include_str!("golden/647a33d.txt")),
    ("97d0004", include_str!("golden/97d0004.txt")),
    ("5486750", include_str!("golden/5486750.txt")),
];

/// Returns the bytes of a line.
fn parse_hex(text: &str) -> Vec<u8> {
    let digits: Vec<u8> = text.chars().map(|digit| digit.to_digit(16).unwrap() as u8).collect();
    digits.chunks(2).map(|pair| pair[0] << 4 | pair[1]).collect()
}

/// Returns what this version reads in a message or record, and checks that it loses none of it.
fn read(name: &str, bytes: &[u8]) -> String {
    let (text, again) = match name {
        "ControlRecord" => reread::<ControlRecord>(bytes),
        "NodeRecord" => reread::<NodeRecord>(bytes),
        "OwnersRecord" => reread::<OwnersRecord>(bytes),
        _ => reread::<Envelope>(bytes),
    };
    assert_eq!(again, bytes, "{name} is not written as it was read");
    text
}

fn reread<M: Debug + Message + Default>(bytes: &[u8]) -> (String, Vec<u8>) {
    let message = M::decode(bytes).unwrap();
    (format!("{message:#?}"), message.encode_to_vec())
}

/// Messages and records of an earlier version mean the same to this one, and what that version does
/// not state has the value that means "not known".
#[test]
fn earlier_versions_are_read() {
    for (version, golden) in VERSIONS {
        let mut text = String::new();
        for line in golden.lines() {
            let (name, hex) = line.split_once(' ').unwrap();
            text += &format!("{name}: {}\n", read(name, &parse_hex(hex)));
        }
        insta::assert_snapshot!(format!("read_from_{version}"), text);
    }
}

/// An earlier version skips what it does not know: the fields that it knows keep their numbers, and
/// those that came later have others.
#[test]
fn later_fields_leave_earlier_ones_as_they_were() {
    let limit = ServerLimit { server: "s1".into(), rate: Some(2.5), ..ServerLimit::default() };
    let (_, golden) = VERSIONS[2];
    let admit = Admit {
        pool: "s1".into(),
        number: 5,
        priority: 1,
        target: 400,
        deadline: 2_000,
        avoid: "s2".into(),
        exclude: vec!["s3".into()],
        limits: vec![limit.clone()],
    };
    let admitted = Admitted { number: 5, server: "s1".into(), limit: Some(limit.clone()) };
    let heartbeat = Heartbeat {
        node: "n1".into(),
        domain: "a".into(),
        addr: "10.0.0.1:7720".into(),
        incarnation: 99,
        leaving: true,
        store_age_ms: 120,
        routes: 11,
        servers: 12,
        owners: 13,
        term: 4,
        keys: vec![KeyLoad { service: "svc".into(), key: 300, work_ms: 40 }],
        latencies: vec![ServerLatency {
            server: "s1".into(),
            count: 2,
            total_ms: 300,
            expected_ms: 260,
            errors: 3,
        }],
        is_leader: true,
        interval_ms: 250,
        sent_ms: 12_345,
        store_lost: true,
        cpu_share: 20,
        unpacks: true,
        era: 2,
        routes_era: 2,
        servers_era: 2,
        owners_era: 1,
        era_age_ms: 900,
        relay: "10.0.0.1:7722".into(),
        cut_off: true,
        keeps_limits: true,
        limits: vec![limit],
        weighs_gates: true,
        evacuations: 14,
        evacuations_era: 2,
        keeps_cold: true,
    };
    let bodies = [Body::Heartbeat(heartbeat), Body::Admit(admit), Body::Admitted(admitted)];
    for (body, line) in bodies.into_iter().zip(golden.lines()) {
        let (name, hex) = line.split_once(' ').unwrap();
        let later = Envelope { body: Some(body), echo: 1_234 }.encode_to_vec();
        let mut stripped = Envelope::decode(later.as_slice()).unwrap();
        match stripped.body.as_mut().unwrap() {
            Body::Heartbeat(it) => {
                (it.keeps_limits, it.limits) = (false, Vec::new());
                it.weighs_gates = false;
                (it.evacuations, it.evacuations_era) = (0, 0);
                it.latencies.iter_mut().for_each(|latency| latency.errors = 0);
                it.keeps_cold = false;
            }
            Body::Admit(it) => {
                it.limits.clear();
            }
            Body::Admitted(it) => it.limit = None,
            _ => {}
        }
        assert_eq!(stripped.encode_to_vec(), parse_hex(hex), "{name}");
    }
}
