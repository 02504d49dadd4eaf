//! Callers that do not read their responses, and servers that do not read their requests.

use {
    crate::rig::{FLOOD, Rig, read_response, run},
    std::time::{Duration, Instant},
    tokio::{
        io::AsyncWriteExt,
        net::{TcpListener, TcpStream},
        task::spawn_local,
        time::sleep,
    },
    whinspring_http::caller::{CallerStream, Conn, Stalls},
    whinspring_router::buffers::{Buffer, Buffers, Full, MAX_BODY_BYTES},
    xitca_io::{io, net},
};

/// Time within which the connection of a caller that reads nothing is closed.
const CLOSE_TIME: Duration = Duration::from_secs(8);

const GET: &str =
    "GET /safe/1 HTTP/1.1\r\nhost: a.example\r\nx-id: i1\r\nx-deadline: 60000\r\n\r\n";

/// Responds without end.
fn flood(_: &str) -> Option<String> {
    Some(format!(
        "HTTP/1.1 200 OK\r\nx-seal: s\r\nx-id: i1\r\ntransfer-encoding: chunked\r\n\r\n{FLOOD}8\r\nabcdefgh\r\n"
    ))
}

/// Returns the number of events of a kind that the node has counted.
fn counted(rig: &Rig, event: &str) -> u64 {
    let text = rig.node.metrics.encode();
    let line = text.lines().find(|line| line.contains(&format!("\"{event}\"")));
    line.map_or(0, |line| line.rsplit(' ').next().unwrap().parse().unwrap())
}

/// Waits until the server's connection has been closed as well; returns how long that took.
async fn until_gone(rig: &Rig) -> Duration {
    let start = Instant::now();
    while !rig.seen.borrow().iter().any(|seen| seen == "gone") {
        assert!(start.elapsed() < CLOSE_TIME, "the connection is still open");
        sleep(Duration::from_millis(50)).await;
    }
    start.elapsed()
}

/// Guards against a response that is kept, with its slot at the server, until the deadline of a caller
/// that reads nothing.
#[test]
fn a_caller_that_reads_nothing_is_closed() {
    run(flood, |rig| async move {
        rig.set_stream_time();
        let mut socket = rig.connect().await;
        socket.write_all(GET.as_bytes()).await.unwrap();
        let took = until_gone(&rig).await;
        assert!(took > Duration::from_secs(3), "{took:?}");
        assert_eq!(counted(&rig, "caller_stalled"), 1);
        assert_eq!(rig.node.stalls.waiting(), 0);
    });
}

/// Guards against a limit on the time of the response instead of that without progress.
#[test]
fn a_caller_that_reads_slowly_is_served() {
    run(flood, |rig| async move {
        rig.set_stream_time();
        let mut socket = rig.connect().await;
        socket.write_all(GET.as_bytes()).await.unwrap();
        let start = Instant::now();
        let mut bytes = vec![0; 256 << 10];
        while start.elapsed() < CLOSE_TIME {
            let read = tokio::io::AsyncReadExt::read(&mut socket, &mut bytes).await.unwrap();
            assert!(read > 0, "closed after {:?}", start.elapsed());
            sleep(Duration::from_millis(100)).await;
        }
        assert_eq!(counted(&rig, "caller_stalled"), 0);
    });
}

/// Guards against the sum of many callers that read nothing: the one that has waited for longest makes
/// room for others before its time has ended.
#[test]
fn many_callers_that_read_nothing_hold_a_bounded_sum() {
    const MAX_WAITING: usize = 2;
    run(flood, |_| async move {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let stalls = Stalls::new(Duration::from_secs(60), MAX_WAITING);
        let (mut callers, mut conns) = (Vec::new(), Vec::new());
        for _ in 0..MAX_WAITING + 1 {
            callers.push(TcpStream::connect(listener.local_addr().unwrap()).await.unwrap());
            let stream = net::TcpStream::from(listener.accept().await.unwrap().0);
            let conn = Conn::with_stalls(&stream, &stalls, 64 << 10).unwrap();
            conns.push(conn.clone());
            spawn_local(async move {
                let stream = CallerStream::new(stream, conn);
                while io::AsyncBufWrite::write(&stream, vec![0; 64 << 10]).await.0.is_ok() {}
            });
            sleep(Duration::from_millis(300)).await;
        }
        let stalled: Vec<bool> = conns.iter().map(|conn| conn.is_stalled()).collect();
        assert_eq!(stalled, [true, false, false]);
        assert_eq!(stalls.waiting(), MAX_WAITING);
    });
}

/// Starts a server that accepts connections and reads nothing.
async fn unreading() -> std::net::SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    spawn_local(async move {
        let mut sockets = Vec::new();
        while let Ok((socket, _)) = listener.accept().await {
            sockets.push(socket);
        }
    });
    addr
}

fn post(number: usize, body: usize) -> String {
    format!(
        "POST /once/{number} HTTP/1.1\r\nhost: a.example\r\nx-id: i{number}\r\nx-deadline: 3000\r\ncontent-length: {body}\r\n\r\n{}",
        "x".repeat(body)
    )
}

/// Guards against bodies that pile up for a server that reads nothing: what finds no space is rejected
/// before it runs, and the space is free again once the others have failed.
#[test]
fn bodies_for_a_server_that_reads_nothing_are_bounded() {
    const BODY: usize = 6 << 20;
    run(
        |_| None,
        |rig| async move {
            let settings = rig.node.settings.clone();
            let rig = Rig::start_node(settings, unreading().await, rig.seen.clone(), None).await;
            rig.set_body_limit(BODY);
            let mut responses = Vec::new();
            for number in 0..12 {
                let caller = rig.clone();
                responses.push(spawn_local(async move {
                    let mut socket = caller.connect().await;
                    let _ = socket.write_all(post(number, BODY).as_bytes()).await;
                    read_response(&mut socket).await
                }));
            }
            let mut most = 0;
            while responses.iter().any(|response| !response.is_finished()) {
                most = most.max(rig.node.buffers.used());
                sleep(Duration::from_millis(10)).await;
            }
            // The last growth of a buffer may double it.
            assert!(most > BODY && most <= MAX_BODY_BYTES + 2 * BODY, "{most}");
            for response in responses {
                let response = response.await.unwrap();
                let is_rejected = response.is_empty()
                    || ["502", "503", "504"]
                        .iter()
                        .any(|it| response.starts_with(&format!("HTTP/1.1 {it}")));
                assert!(is_rejected, "{response}");
            }
            sleep(Duration::from_millis(300)).await;
            assert_eq!(rig.node.buffers.used(), 0);
        },
    );
}

/// A node takes the only body that it has, whatever its size: the configuration limits that.
#[test]
fn space_is_taken_by_bodies_and_given_back() {
    let buffers = Buffers::new(100_000);
    let mut one = Buffer::new(&buffers);
    one.extend(&[1; 90_000]).unwrap();
    one.extend(&[1; 90_000]).unwrap();
    let mut two = Buffer::new(&buffers);
    two.extend(&[2; 1_000]).unwrap();
    assert_eq!(two.extend(&[2; 9_000]), Err(Full), "only small bodies need no space");
    let bytes = one.freeze();
    let copy = bytes.clone();
    drop(bytes);
    assert!(buffers.used() >= 180_000, "{}", buffers.used());
    drop(copy);
    assert_eq!(buffers.used(), 0);
    two.extend(&[2; 9_000]).unwrap();
    assert_eq!(two.freeze().len(), 10_000);
}
