//! Circumstances in which operators of similar systems saw wrong, truncated or lost responses; see
//! `docs/incidents/reports-of-others.md`.

use {
    crate::{
        pair::run_with_relay,
        rig::{Rig, TEST_TIMEOUT},
        setup::settings,
    },
    socket2::SockRef,
    std::{
        cell::{Cell, RefCell},
        net::SocketAddr,
        rc::Rc,
        time::Duration,
    },
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::{TcpListener, TcpStream},
        task::{LocalSet, spawn_local},
        time::{sleep, timeout},
    },
    whinspring_router::settings::Limits,
};

/// Time that the server takes for a request after the first one.
pub const RUN_TIME: Duration = Duration::from_millis(100);

/// Time in which bytes arrive over loopback and are read.
pub const ARRIVAL_TIME: Duration = Duration::from_millis(30);

/// Size of a body that is streamed instead of buffered, in bytes.
const LONG_BODY: usize = 100_000;

/// When the server sends the second copy of its first response.
#[derive(Debug, Clone, Copy)]
pub enum Copy {
    /// A time after the response.
    After(Duration),
    /// A time after the response, once the next request has arrived if it comes on the connection.
    During(Duration),
    /// After the first byte of the next request on the connection.
    InHead,
    /// After the whole head of the next request.
    AfterHead,
    /// The first half a time after the response, the rest after the head of the next request.
    Split(Duration),
}

/// What a server saw on its connections, in order: their number and the id of a request, or `copy`.
pub type Events = Rc<RefCell<Vec<(usize, String)>>>;

/// How the requests reach the node under test.
#[derive(Debug, Clone, Copy)]
pub enum Role {
    /// From a caller.
    Entry,
    /// From a node that uses this one as a relay.
    Relay,
}

pub fn id_of(request: &str) -> &str {
    let line = request.lines().find(|line| line.starts_with("x-id: "));
    line.map_or("", |line| &line[6..])
}

pub fn build_request(role: Role, method: &str, path: &str, id: &str) -> String {
    let internal = match role {
        Role::Entry => "",
        Role::Relay => "x-target: s1\r\nwhinspring-server-start-ms: 0\r\n",
    };
    format!(
        "{method} {path} HTTP/1.1\r\nhost: a.example\r\nx-id: {id}\r\nx-key: 1\r\nx-deadline: 1500\r\n{internal}\r\n"
    )
}

/// Returns the response to a request of a server that sends its first response twice.
pub fn own_response(id: &str) -> String {
    format!(
        "HTTP/1.1 200 OK\r\nx-id: {id}\r\nx-seal: s\r\ncontent-length: {}\r\n\r\nof {id}",
        id.len() + 3
    )
}

/// Runs a test on one thread.
pub fn block_on(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    LocalSet::new().block_on(&runtime, async {
        timeout(TEST_TIMEOUT, test).await.expect("the test timed out");
    });
}

/// Starts a server. If `copied` is given, it is the first response, and is sent again.
pub async fn start_server(copied: Option<(String, Copy)>) -> (SocketAddr, Events) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    let events = Events::default();
    let seen = events.clone();
    spawn_local(async move {
        let mut number = 0;
        while let Ok((socket, _)) = listener.accept().await {
            spawn_local(serve(socket, number, copied.clone(), seen.clone()));
            number += 1;
        }
    });
    (addr, events)
}

/// Responds to the requests on a connection.
async fn serve(
    mut socket: TcpStream,
    number: usize,
    copied: Option<(String, Copy)>,
    events: Events,
) {
    let record = |event: &str| events.borrow_mut().push((number, event.into()));
    let mut read = Vec::new();
    // Sent after the head of the next request.
    let mut pending = Vec::new();
    loop {
        let Some(request) = read_head(&mut socket, &mut read).await else { return };
        let is_first = events.borrow().is_empty();
        record(id_of(&request));
        if let Some((first, copy)) = copied.as_ref().filter(|_| is_first) {
            let first = first.as_bytes();
            let (start, rest) = first.split_at(first.len() / 2);
            socket.write_all(first).await.unwrap();
            match copy {
                Copy::After(delay) | Copy::During(delay) => {
                    let all = async { while socket.read_buf(&mut read).await.unwrap_or(0) > 0 {} };
                    let _ = timeout(*delay, all).await;
                    if matches!(copy, Copy::During(_)) && read.is_empty() {
                        let _ = timeout(RUN_TIME, socket.read_buf(&mut read)).await;
                    }
                    if !read.is_empty() {
                        record(id_of(&text(&read)));
                    }
                    record("copy");
                    let _ = socket.write_all(first).await;
                    if !read.is_empty() {
                        let request = text(&std::mem::take(&mut read));
                        sleep(RUN_TIME).await;
                        let own = own_response(id_of(&request));
                        let _ = socket.write_all(own.as_bytes()).await;
                    }
                }
                Copy::InHead => {
                    let mut byte = [0];
                    if socket.read_exact(&mut byte).await.is_err() {
                        return;
                    }
                    let _ = socket.write_all(first).await;
                    read.extend(byte);
                    let Some(request) = read_head(&mut socket, &mut read).await else { return };
                    record(id_of(&request));
                    record("copy");
                    sleep(RUN_TIME).await;
                    let _ = socket.write_all(own_response(id_of(&request)).as_bytes()).await;
                }
                Copy::AfterHead => pending = first.to_vec(),
                Copy::Split(delay) => {
                    sleep(*delay).await;
                    record("copy");
                    let _ = socket.write_all(start).await;
                    pending = rest.to_vec();
                }
            }
            continue;
        }
        if !pending.is_empty() {
            record("copy");
            let _ = socket.write_all(&std::mem::take(&mut pending)).await;
        }
        sleep(RUN_TIME).await;
        let _ = socket.write_all(own_response(id_of(&request)).as_bytes()).await;
    }
}

/// Reads the head of a request of which `bytes` have been read.
async fn read_head(socket: &mut TcpStream, bytes: &mut Vec<u8>) -> Option<String> {
    while !bytes.ends_with(b"\r\n\r\n") {
        if socket.read_buf(bytes).await.unwrap_or(0) == 0 {
            return None;
        }
    }
    Some(text(&std::mem::take(bytes)))
}

fn text(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).into_owned()
}

/// Sends a request on a new connection and returns the response.
async fn send(rig: &Rig, role: Role, path: &str, id: &str) -> String {
    deliver(rig, role, &build_request(role, "GET", path, id)).await
}

async fn post(rig: &Rig, role: Role, id: &str) -> String {
    deliver(rig, role, &build_request(role, "POST", "/once/1", id)).await
}

async fn deliver(rig: &Rig, role: Role, request: &str) -> String {
    match role {
        Role::Entry => rig.send(request).await,
        Role::Relay => rig.send_relayed(request).await,
    }
}

/// Sends a request, and others `gap` later, to a server that sends its first response twice.
fn assert_copy_is_discarded(role: Role, copy: Copy, gap: Duration) {
    for path in ["/safe/1", "/once/1"] {
        block_on(async {
            let (server, events) = start_server(Some((own_response("i1"), copy))).await;
            let settings = settings("n1", Limits::default());
            let rig = Rig::start_node(settings, server, Rc::default(), None).await;
            let case = format!("{role:?} {copy:?} {gap:?} {path}");
            let response = send(&rig, role, path, "i1").await;
            assert!(response.ends_with("of i1"), "{case}: {response}");
            sleep(gap).await;
            for number in 2..6 {
                let id = format!("i{number}");
                let response = send(&rig, role, path, &id).await;
                let is_own =
                    response.starts_with("HTTP/1.1 200") && response.ends_with(&format!("of {id}"));
                let is_error = response.starts_with("HTTP/1.1 50");
                assert!(is_own || is_error, "{case}: {id}: {response}");
                sleep(ARRIVAL_TIME).await;
            }
            let events = events.borrow();
            let at =
                events.iter().position(|(_, event)| event == "copy").expect("no copy was sent");
            let reused = events[at + 1..].iter().any(|(number, _)| *number == events[at].0);
            assert!(!reused, "{case}: used after the copy: {events:?}");
        });
    }
}

/// Guards against a caller that gets the response of an earlier request, whose second copy came while
/// the connection was idle.
#[test]
fn a_copy_on_an_idle_connection_is_no_response() {
    for role in [Role::Entry, Role::Relay] {
        for ms in [0, 1, 50] {
            let delay = Duration::from_millis(ms);
            assert_copy_is_discarded(role, Copy::After(delay), delay + ARRIVAL_TIME);
            assert_copy_is_discarded(role, Copy::Split(delay), delay + ARRIVAL_TIME);
        }
        let delay = Duration::from_millis(2_000);
        assert_copy_is_discarded(role, Copy::After(delay), delay + ARRIVAL_TIME);
    }
}

/// Guards against a caller that gets the response of an earlier request, whose second copy came while
/// its own request was under way.
#[test]
fn a_copy_during_the_next_request_is_no_response() {
    for role in [Role::Entry, Role::Relay] {
        assert_copy_is_discarded(role, Copy::InHead, ARRIVAL_TIME);
        assert_copy_is_discarded(role, Copy::AfterHead, ARRIVAL_TIME);
        for ms in [50, 2_000] {
            let delay = Duration::from_millis(ms);
            let gap = delay.saturating_sub(RUN_TIME);
            assert_copy_is_discarded(role, Copy::During(delay), gap);
        }
    }
}

/// Guards against a request that runs and is reported as not run: a server sheds its first sending, and
/// the second copy of that rejection comes after the second sending, which has the same id.
#[test]
fn a_copy_of_a_rejection_does_not_answer_the_retry() {
    for keyed in [false, true] {
        block_on(async {
            let head = "HTTP/1.1 503 No\r\nx-id: i1\r\nx-not-run: 1\r\ncontent-length: 0\r\n\r\n";
            let (server, events) = start_server(Some((head.into(), Copy::AfterHead))).await;
            let settings = settings("n1", Limits::default());
            let rig = Rig::start_node(settings, server, Rc::default(), None).await;
            if keyed {
                rig.set_keyed();
            }
            let response = rig.send(&build_request(Role::Entry, "POST", "/once/1", "i1")).await;
            let runs = events.borrow().iter().filter(|(_, event)| event == "i1").count();
            assert!(runs == 2, "{:?}", events.borrow());
            assert!(!response.starts_with("HTTP/1.1 503"), "{response}: {:?}", events.borrow());
        });
    }
}

/// The same by way of a relay, which uses the connection of the first sending again for other requests.
#[test]
fn a_copy_of_a_rejection_does_not_answer_a_relayed_retry() {
    block_on(async {
        let head = "HTTP/1.1 503 No\r\nx-id: i1\r\nx-not-run: 1\r\ncontent-length: 0\r\n\r\n";
        let (server, events) = start_server(Some((head.into(), Copy::AfterHead))).await;
        let rig =
            Rig::start_node(settings("n1", Limits::default()), server, Rc::default(), None).await;
        let mut last = String::new();
        for number in 1..=2 {
            let attempt = format!("whinspring-attempt: {number}\r\n\r\n");
            let request = build_request(Role::Relay, "POST", "/once/1", "i1");
            last =
                rig.send_relayed(&request.replacen("\r\n\r\n", &format!("\r\n{attempt}"), 1)).await;
        }
        let events = events.borrow();
        let runs = events.iter().filter(|(_, event)| event == "i1").count();
        assert_eq!(runs, 2, "{events:?}");
        assert!(last.starts_with("HTTP/1.1 200"), "{last}: {events:?}");
        let (first, second) = (&events[0], &events[events.len() - 1]);
        assert_ne!(first.0, second.0, "the retry used the connection of the first sending");
    });
}

/// Statuses that promise that a request has not run.
const PROMISES: [u16; 4] = [408, 421, 429, 503];

fn status_of(response: &str) -> u16 {
    response.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap_or_default()
}

/// Guards against requests that run and are reported as not run, or run twice: the second copy of the
/// rejection of an earlier request comes on the connection that they use.
#[test]
fn a_copy_of_a_rejection_does_not_answer_another_request() {
    let roles = [Role::Entry, Role::Relay].into_iter();
    for (role, status) in roles.flat_map(|role| [(role, 421), (role, 503)]) {
        for copy in [Copy::InHead, Copy::AfterHead, Copy::During(RUN_TIME)] {
            for keyed in [false, true] {
                assert_not_answered_by_copy(role, status, copy, keyed);
            }
        }
    }
}

/// Sends requests to a server that rejects the first one and sends that rejection again.
fn assert_not_answered_by_copy(role: Role, status: u16, copy: Copy, keyed: bool) {
    block_on(async {
        let head = format!("HTTP/1.1 {status} No\r\nx-id: i1\r\nx-not-run: 1\r\n");
        let first = format!("{head}content-length: 0\r\n\r\n");
        let (server, events) = start_server(Some((first, copy))).await;
        let settings = settings("n1", Limits::default());
        let rig = Rig::start_node(settings, server, Rc::default(), None).await;
        if keyed {
            rig.set_keyed();
        }
        post(&rig, role, "i1").await;
        // Both connections that the first request has left are used.
        let (second, third) = tokio::join!(post(&rig, role, "i2"), post(&rig, role, "i3"));
        sleep(RUN_TIME).await;
        let events = events.borrow();
        for (id, response) in [("i2", second), ("i3", third)] {
            let case = format!("{role:?} {status} {copy:?} {keyed} {id}: {response} {events:?}");
            let runs = events.iter().filter(|(_, event)| event == id).count();
            assert!(runs <= 1, "ran twice: {case}");
            let is_promise = PROMISES.contains(&status_of(&response));
            assert!(runs == 0 || !is_promise, "ran: {case}");
            assert!(runs == 0 || !response.contains("fault: unsent"), "ran: {case}");
        }
        assert!(events.iter().any(|(_, event)| event == "copy"), "{events:?}");
    });
}

/// Guards against a relay that takes a retry for a first sending, and uses a connection again.
#[test]
fn a_relay_is_told_of_a_retry() {
    let shed = |request: &str| {
        let id = id_of(request);
        let head = format!("HTTP/1.1 503 No\r\nx-id: {id}\r\nx-not-run: 1\r\n");
        (!id.starts_with("first")).then(|| format!("{head}content-length: 0\r\n\r\n"))
    };
    run_with_relay(shed, |pair, requests| async move {
        send(&pair.entry, Role::Entry, "/once/1", "i1").await;
        let requests = requests.borrow();
        let sendings: Vec<&String> = requests.iter().filter(|it| id_of(it) == "i1").collect();
        assert_eq!(sendings.len(), 2, "{requests:?}");
        for (request, number) in sendings.iter().zip(1..) {
            let header = format!("whinspring-attempt: {number}\r\n");
            assert!(request.contains(&header), "{header}: {request}");
        }
    });
}

/// Guards against a caller that gets the response of an earlier request, whose second copy came on the
/// connection to a relay.
#[test]
fn a_copy_from_a_relay_is_no_response() {
    let twice = |request: &str| {
        let id = id_of(request);
        (!id.starts_with("first")).then(|| own_response(id).repeat(2))
    };
    run_with_relay(twice, |pair, _| async move {
        let mut served = 0;
        for number in 1..6 {
            let id = format!("i{number}");
            let response = send(&pair.entry, Role::Entry, "/once/1", &id).await;
            let is_own = response.ends_with(&format!("of {id}"));
            assert!(is_own || response.starts_with("HTTP/1.1 50"), "{id}: {response}");
            served += usize::from(is_own);
        }
        assert!(served > 0, "no copy was sent");
    });
}

/// How a server tells the length of a body.
#[derive(Debug, Clone, Copy)]
enum Framing {
    Length,
    Chunked,
    /// The body ends with the connection.
    None,
}

/// Sends the start of a response to each request and closes the connection, by a reset or not.
async fn start_breaker(framing: Framing, bytes: usize, reset: bool) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    spawn_local(async move {
        while let Ok((mut socket, _)) = listener.accept().await {
            spawn_local(async move {
                let Some(request) = read_head(&mut socket, &mut Vec::new()).await else { return };
                let head = format!("HTTP/1.1 200 OK\r\nx-id: {}\r\nx-seal: s\r\n", id_of(&request));
                let body = "b".repeat(bytes);
                let response = match framing {
                    Framing::Length => format!("{head}content-length: {}\r\n\r\n{body}", bytes * 2),
                    Framing::Chunked => {
                        format!("{head}transfer-encoding: chunked\r\n\r\n{bytes:x}\r\n{body}\r\n")
                    }
                    Framing::None => format!("{head}\r\n{body}"),
                };
                let _ = socket.write_all(response.as_bytes()).await;
                sleep(ARRIVAL_TIME).await;
                if reset {
                    SockRef::from(&socket).set_linger(Some(Duration::ZERO)).unwrap();
                }
            });
        }
    });
    addr
}

/// Returns whether a response ends where its head says, by its length or its last chunk.
fn is_complete(response: &str) -> bool {
    let Some((head, body)) = response.split_once("\r\n\r\n") else { return false };
    let head = head.to_ascii_lowercase();
    match head.lines().find_map(|line| line.strip_prefix("content-length: ")) {
        Some(length) => body.len() >= length.parse::<usize>().unwrap(),
        None => !head.contains("transfer-encoding: chunked") || body.ends_with("0\r\n\r\n"),
    }
}

/// Asserts that a response that breaks off does not look complete to the caller, nor to a node that uses
/// this one as a relay.
fn assert_incomplete(framing: Framing, reset: bool) {
    for bytes in [10, LONG_BODY] {
        for role in [Role::Entry, Role::Relay] {
            block_on(async {
                let server = start_breaker(framing, bytes, reset).await;
                let settings = settings("n1", Limits::default());
                let rig = Rig::start_node(settings, server, Rc::default(), None).await;
                let request = build_request(role, "GET", "/once/1", "i1");
                let mut socket = match role {
                    Role::Entry => rig.connect().await,
                    Role::Relay => rig.connect_relay().await,
                };
                socket.write_all(request.as_bytes()).await.unwrap();
                let mut response = Vec::new();
                let read = timeout(2 * RUN_TIME, async {
                    while socket.read_buf(&mut response).await.unwrap_or(0) > 0 {}
                });
                let is_closed = read.await.is_ok();
                let response = text(&response);
                let shown = &response[..response.len().min(200)];
                let case = format!("{framing:?} {reset} {bytes} {role:?}: {shown}");
                let is_success = response.starts_with("HTTP/1.1 200");
                assert!(!is_success || !is_complete(&response), "complete: {case}");
                assert!(!is_success || is_closed, "left open: {case}");
            });
        }
    }
}

/// Guards against a response that breaks off and reaches the caller as complete.
#[test]
fn a_response_that_breaks_off_never_looks_complete() {
    for framing in [Framing::Length, Framing::Chunked] {
        assert_incomplete(framing, false);
        assert_incomplete(framing, true);
    }
    assert_incomplete(Framing::None, true);
}

/// Sends the first bytes of `response` to each request and closes the connection, by a reset or not.
async fn start_stopper(response: &'static [u8], reset: bool) -> (SocketAddr, Rc<Cell<usize>>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    let requests = Rc::new(Cell::new(0));
    let seen = requests.clone();
    spawn_local(async move {
        while let Ok((mut socket, _)) = listener.accept().await {
            if read_head(&mut socket, &mut Vec::new()).await.is_some() {
                seen.set(seen.get() + 1);
                let _ = socket.write_all(response).await;
                if reset {
                    SockRef::from(&socket).set_linger(Some(Duration::ZERO)).unwrap();
                }
            }
        }
    });
    (addr, requests)
}

/// Guards against a success with an empty or a short body: the server stopped in the middle of the head
/// of its response, or of an interim one before it.
#[test]
fn a_head_that_breaks_off_is_no_response() {
    const HEADS: [&str; 3] = [
        "HTTP/1.1 200 OK\r\nx-id: i1\r\nx-seal: s\r\ncontent-length: 12\r\n\r\n",
        "HTTP/1.1 200 OK\r\nx-id: i1\r\nx-seal: s\r\ntransfer-encoding: chunked\r\n\r\n",
        "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nx-id: i1\r\nx-seal: s\r\nconnection: close\r\n\r",
    ];
    for (head, reset) in HEADS.into_iter().flat_map(|head| [(head, false), (head, true)]) {
        for role in [Role::Entry, Role::Relay] {
            for end in 0..=head.len() {
                block_on(async {
                    let (server, requests) = start_stopper(&head.as_bytes()[..end], reset).await;
                    let settings = settings("n1", Limits::default());
                    let rig = Rig::start_node(settings, server, Rc::default(), None).await;
                    let response = post(&rig, role, "i1").await;
                    let case = format!("{role:?} {reset} {:?}: {response}", &head[..end]);
                    assert_eq!(requests.get(), 1, "{case}");
                    let is_success = response.starts_with("HTTP/1.1 2");
                    assert!(!is_success || !is_complete(&response), "{case}");
                    assert!(!PROMISES.contains(&status_of(&response)), "{case}");
                });
            }
        }
    }
}

/// Time in which a request is answered for good.
const FINAL_TIME: Duration = Duration::from_millis(2_500);

/// Statuses that no final response of the protocol has.
const BAD_STATUSES: [&str; 14] =
    ["000", "001", "099", "100", "101", "103", "199", "600", "999", "1000", "20", "2e2", "-20", ""];

/// Guards against a caller that gets an answer with a status that is none: a server in trouble sent it,
/// with all that makes a response valid otherwise.
#[test]
fn a_response_with_a_status_that_is_none_reaches_no_caller() {
    for status in BAD_STATUSES {
        let headers = "x-id: i1\r\nx-seal: s\r\n";
        let response = format!("HTTP/1.1 {status} OK\r\n{headers}content-length: 5\r\n\r\nhello");
        let response: &'static [u8] = response.leak().as_bytes();
        for role in [Role::Entry, Role::Relay] {
            block_on(async {
                let (server, requests) = start_stopper(response, false).await;
                let settings = settings("n1", Limits::default());
                let rig = Rig::start_node(settings, server, Rc::default(), None).await;
                let response =
                    timeout(FINAL_TIME, post(&rig, role, "i1")).await.unwrap_or_default();
                let case = format!("{role:?} {status:?}: {response}");
                assert_eq!(requests.get(), 1, "{case}");
                assert_eq!(status_of(&response), 502, "{case}");
                assert!(!response.contains("hello"), "{case}");
            });
        }
    }
}

/// Guards against a response that is taken for complete at an entry node, whose relay was lost halfway.
#[test]
fn a_relay_that_is_lost_halfway_never_completes_a_response() {
    let broken = |request: &str| {
        let id = id_of(request);
        let (framing, bytes) = match id {
            "length" => (format!("content-length: {}\r\n\r\n", 2 * LONG_BODY), LONG_BODY),
            "short" => ("content-length: 9\r\n\r\n".into(), 5),
            "chunked" => {
                (format!("transfer-encoding: chunked\r\n\r\n{LONG_BODY:x}\r\n"), LONG_BODY)
            }
            _ => return None,
        };
        let body = "b".repeat(bytes);
        Some(format!("close:HTTP/1.1 200 OK\r\nx-id: {id}\r\nx-seal: s\r\n{framing}{body}"))
    };
    run_with_relay(broken, |pair, requests| async move {
        for id in ["length", "short", "chunked"] {
            let mut socket = pair.entry.connect().await;
            let request = build_request(Role::Entry, "POST", "/once/1", id);
            socket.write_all(request.as_bytes()).await.unwrap();
            let mut response = Vec::new();
            let all = async { while socket.read_buf(&mut response).await.unwrap_or(0) > 0 {} };
            let _ = timeout(2 * RUN_TIME, all).await;
            let response = text(&response);
            let is_success = response.starts_with("HTTP/1.1 200");
            let shown = &response[..response.len().min(200)];
            assert!(!is_success || !is_complete(&response), "{id}: {shown}");
            assert!(requests.borrow().iter().any(|request| id_of(request) == id), "{id}: {shown}");
        }
    });
}

/// Guards against a body without a length whose server has crashed and that reaches the caller with a
/// length, as if the server had stated it.
#[test]
fn a_body_that_ends_with_its_connection_never_looks_complete() {
    assert_incomplete(Framing::None, false);
}
