//! Queries of the client to the admin port of a daemon.

use {
    std::{net::TcpListener, sync::Arc},
    tokio::{runtime::Handle, sync::mpsc},
    whinspring::{
        code::Code,
        declaration,
        entry::Outcome,
        model::{Owner, Segment},
        name::{Name, ServerId},
        plan::Records,
        record::{Key, Kind, Record, Value},
        request::Target,
        time::Wall,
    },
    whinspring_cli::{
        node::{self, HeldServer, KeyHistory, NodeStatus, RequestTrace, percent_encode},
        query::{self, NodeAnswer, Severity},
        text::WIDTH,
        view::{Explanation, OwnerChanges},
    },
    whinspring_daemon::{
        admin::Admin,
        clock::Clock,
        journal::{EventKind, Hop},
        metrics::Metrics,
        shared::{Reports, Shared},
    },
};

/// Returns the shared state of a node that has no records.
fn new_node(name: &str) -> Arc<Shared> {
    let (messages, _) = mpsc::unbounded_channel();
    let (suspects, _) = mpsc::unbounded_channel();
    let reports = Reports { messages, suspects };
    let metrics = Arc::new(Metrics::new());
    Shared::new(name.into(), 1, Clock::start(), metrics, Handle::current(), reports)
}

/// Starts the admin port of a node on a free port.
fn start_admin(shared: &Arc<Shared>) -> (Admin, std::net::SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap();
    (Admin::start(shared.clone(), listener).unwrap(), addr)
}

#[tokio::test]
async fn explain_merges_traces_of_nodes() {
    let [entry, holder] = [new_node("entry-1"), new_node("entry-2")];
    let id = Name::from("order 7&x=é");
    let target =
        Target { node: "entry-2".into(), incarnation: 1, server: ServerId(3), term: 4, epoch: 5 };
    let received = EventKind::Received { service: "reservations".into(), idempotent: false };
    entry.journal.add(&id, Hop::Entry, received);
    entry.journal.add(&id, Hop::Entry, EventKind::Forwarded(target));
    entry.journal.add(&id, Hop::Entry, EventKind::Failed(Outcome::Broken));
    entry.journal.add(&id, Hop::Entry, EventKind::Answered(Code::HolderLost));
    let started = EventKind::Started { server: ServerId(3), term: 4, epoch: 5 };
    holder.journal.add(&id, Hop::Holder, started);
    holder.journal.add(&"other".into(), Hop::Holder, EventKind::Replayed);

    let [(first, a), (second, b)] = [start_admin(&entry), start_admin(&holder)];
    let path = format!("/explain?id={}", percent_encode(&id));
    let traces: Vec<RequestTrace> = node::fetch(&[a, b], &path).await.unwrap();
    let mut explanation = Explanation::new(&id, traces);
    assert_eq!(explanation.events.len(), 5);
    for (index, event) in explanation.events.iter_mut().enumerate() {
        event.event.at_ms = index as u64;
    }
    let text = explanation.to_string();
    assert!(text.lines().all(|line| line.chars().count() <= WIDTH), "{text}");
    let expected = "\
request order 7&x=é
  +0 ms entry entry-1: received for reservations, unrepeatable
  +1 ms entry entry-1: forwarded to entry-2 for s3, term 4
  +2 ms entry entry-1: no answer: the link to the holder was lost after sending
  +3 ms entry entry-1: answered the caller (601, unknown: the holder was lost
    after the request was handed over)
  +4 ms holder entry-2: given to s3, term 4, epoch 5
";
    assert_eq!(text, expected);

    let traces: Vec<RequestTrace> = node::fetch(&[a], "/explain?id=unknown").await.unwrap();
    assert!(traces[0].events.is_empty());
    assert!(node::fetch::<RequestTrace>(&[a], "/explain").await.is_err());
    first.close().await;
    second.close().await;
    assert!(node::fetch::<RequestTrace>(&[a], &path).await.is_err());
}

#[tokio::test]
async fn history_merges_changes_of_nodes() {
    let declared = include_str!("../../../docs/reservations.ini");
    let mut service = declaration::parse(declared).unwrap();
    service.slices = 4;
    let owner = |epoch| Owner { server: ServerId(1), epoch, next: None };
    let segment = |epoch| Segment { first: 0, owners: vec![owner(epoch); 4], ..Segment::default() };
    let key = Key::new(Kind::Service, "reservations");
    let value = Some(Value::Service(service.clone()));
    let record = Record { key, version: 1, mark: 0, value };

    let mut servers = Vec::new();
    for (index, name) in ["entry-1", "entry-2"].into_iter().enumerate() {
        let shared = new_node(name);
        shared.set_view(shared.view().with_records([&record].into_iter()));
        let at = |ms: u64| Wall(1_700_000_000_000 + ms + index as u64);
        let mut history = shared.history.lock();
        history.record(at(0), &service, None, (&segment(1), 2), &[]);
        history.record(at(5_000), &service, Some(&segment(1)), (&segment(2), 3), &[]);
        drop(history);
        servers.push(start_admin(&shared));
    }
    let nodes: Vec<_> = servers.iter().map(|(_, addr)| *addr).collect();
    let histories: Vec<KeyHistory> = node::fetch(&nodes, "/history?key=bay%207").await.unwrap();
    let text = OwnerChanges::new("bay 7", Some("reservations"), histories).to_string();
    let expected = "\
key bay 7
  2023-11-14 22:13:25 reservations: s1 -> s1, epoch 2, version 3, the
    controller: former owner lost, or load
";
    assert_eq!(text, expected);
    for (server, _) in servers {
        server.close().await;
    }
}

#[tokio::test]
async fn doctor_checks_node_status() {
    let declared = include_str!("../../../docs/reservations.ini");
    let service = declaration::parse(declared).unwrap();
    let key = Key::new(Kind::Service, "reservations");
    let record = |version| Record {
        key: key.clone(),
        version,
        mark: 0,
        value: Some(Value::Service(service.clone())),
    };
    let node = new_node("entry-1");
    node.set_view(node.view().with_records([&record(5)].into_iter()));
    node.set_synced();
    let (admin, addr) = start_admin(&node);
    let (gone, stopped) = start_admin(&new_node("entry-2"));
    gone.close().await;

    let mut answers: Vec<NodeAnswer> = Vec::new();
    for (addr, answer) in node::fetch_each::<NodeStatus>(&[addr, stopped], "/status").await {
        answers.push((addr, answer.ok()));
    }
    let records = Records::from([(key.clone(), record(9))]);
    let mut texts: Vec<_> =
        query::diagnose_nodes(&records, &answers).into_iter().map(|f| f.text).collect();
    texts.sort();
    let expected = [
        format!("no answer from the admin port {stopped}"),
        "node entry-1 has no lease and sends to no server".into(),
        "node entry-1 has reservations at version 5, the platform at 9".into(),
    ];
    assert_eq!(texts, expected);

    let status = answers.iter_mut().find_map(|(_, status)| status.as_mut()).unwrap();
    status.held.push(HeldServer { service: "reservations".into(), server: 1, up: false });
    let text = "reservations: s1 bay-2 does not respond to node entry-1";
    let severity = |records: &Records| {
        let found = query::diagnose_nodes(records, &answers);
        found.into_iter().find(|found| found.text == text).map(|found| found.severity)
    };
    assert_eq!(severity(&records), Some(Severity::AtRisk), "it owns nothing");
    let owner = Owner { server: ServerId(1), epoch: 1, next: None };
    let segment = Segment { owners: vec![owner], ..Segment::default() };
    let key = Key::segment("reservations", 0);
    let value = Some(Value::Segment(segment));
    let mut records = records;
    records.insert(key.clone(), Record { key, version: 10, mark: 0, value });
    assert_eq!(severity(&records), Some(Severity::Refused));
    admin.close().await;
}

#[tokio::test]
async fn history_of_an_unchanged_key_names_its_owner() {
    let declared = include_str!("../../../docs/reservations.ini");
    let mut service = declaration::parse(declared).unwrap();
    service.slices = 1;
    let owners = vec![Owner { server: ServerId(2), epoch: 6, next: None }];
    let segment = Segment { owners, ..Segment::default() };
    let record = |key, value| Record { key, version: 1, mark: 0, value: Some(value) };
    let records = [
        record(Key::new(Kind::Service, "reservations"), Value::Service(service.clone())),
        record(Key::segment("reservations", 0), Value::Segment(segment.clone())),
    ];
    let node = new_node("entry-1");
    node.set_view(node.view().with_records(records.iter()));
    node.history.lock().record(Wall(1_700_000_000_000), &service, None, (&segment, 1), &[]);

    let (admin, addr) = start_admin(&node);
    let histories: Vec<KeyHistory> = node::fetch(&[addr], "/history?key=any").await.unwrap();
    let expected = "\
key any
  2023-11-14 22:13:20 reservations: s2, epoch 6, version 0, unchanged since the
    node's start
";
    assert_eq!(OwnerChanges::new("any", None, histories).to_string(), expected);
    admin.close().await;
}
