//! The controller is cut off from the store and the other nodes while a backend crashes and starts again under the id
//! that it had.

use {
    standin::{
        Backend, Node, Proxy, Record, Request, Stop, Store, free_subnet, has_trouble, overlaps, random,
        send, temp_dir,
    },
    std::{net::SocketAddr, path::Path, process::exit, sync::atomic::Ordering, thread, time::Duration},
};

const HOST: &str = "desk.example";
const BACKENDS: usize = 7;
const NODES: usize = 4;

fn work() -> Duration {
    Duration::from_millis(20 + random() % 40)
}

const CONFIG: &str = "{\"Version\":7,\"Routes\":[{\"Name\":\"r-a\",\"Host\":\"desk.example\",\"PathPrefix\":\"/status/\",\"Kind\":\"safe\",\"timeout_ms\":2500,\"target_ms\":500,\"Priority\":2,\"Service\":\"checks-api\",\"MaxAttempts\":2}],\"Services\":[{\"Name\":\"checks-api\",\"HealthPath\":\"/health\",\"MaxConns\":110,\"Protocol\":\"h1\",\"Tls\":false,\"Sharded\":true,\"WarmS\":3.0,\"Grants\":\"direct_call\"}],\"Limits\":{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":1048576,\"HeaderTimeoutS\":3000,\"IdleTimeoutS\":15000}}";

fn main() {
    let folder = std::env::args().nth(1).expect("the folder of the case");
    let record = Record::create(&Path::new(&folder).join("record.txt"));
    let dir = temp_dir("review-3");
    let subnet = free_subnet();
    let addr = |host: usize, port: u16| -> SocketAddr { format!("{subnet}.{host}:{port}").parse().unwrap() };
    let store = Store::start(addr(1, 8169));
    store.put("config", "main", CONFIG, "null");
    let backends: Vec<_> = (0..BACKENDS)
        .map(|index| {
            let id = format!("i-{index}-{:06x}", random() % 0xff_ffff);
            let backend = Backend::start(&id, "checks-api", true, addr(100 + index, 8080), work, &record);
            backend.register(&store, "a");
            backend
        })
        .collect();
    let names: Vec<String> = (0..NODES).map(|n| format!("edge-a-{n}")).collect();
    let to_store: Vec<_> = (0..NODES).map(|n| Proxy::start(addr(50 + n, 8169), store.addr)).collect();
    let links: Vec<_> = (0..NODES).map(|n| Proxy::start(addr(50 + n, 7720), addr(10 + n, 7720))).collect();
    let mut nodes: Vec<Node> = (0..NODES)
        .map(|n| {
            let advertised = format!("advertised = {}", links[n].addr);
            Node::new(&dir, &names[n], "a", &format!("{subnet}.{}", 10 + n), to_store[n].addr, &advertised)
        })
        .collect();
    nodes.iter_mut().for_each(Node::start);
    if !nodes.iter().all(|node| node.wait_ready(Duration::from_secs(15))) {
        println!("the nodes do not become ready");
        drop(nodes);
        exit(2);
    }
    let stop = Stop::default();
    let consumers: Vec<_> = (0..NODES * 6)
        .map(|n| {
            let (to, stop, record) = (nodes[n % NODES].front, stop.clone(), record.clone());
            thread::spawn(move || {
                while !stop.load(Ordering::Relaxed) {
                    let id = format!("{:016x}", random());
                    let key = Some(random() as u16);
                    let wait = Duration::from_millis(2_500);
                    let path = format!("/status/{id}");
                    let request = Request { method: "GET", host: HOST, path: &path, id: &id, key, wait };
                    send(to, &request, &record);
                    thread::sleep(Duration::from_millis(40));
                }
            })
        })
        .collect();
    thread::sleep(Duration::from_secs(6));
    let leader = || {
        let value = store.value("whinspring-control", "controller");
        names.iter().position(|name| value.windows(name.len()).any(|part| part == name.as_bytes()))
    };
    let Some(first) = leader() else {
        println!("there is no controller");
        drop(nodes);
        exit(2);
    };
    if has_trouble() {
        record.note(&format!("cut {} from the store and the other nodes", names[first]));
        to_store[first].cut("");
        links[first].cut("");
        links.iter().enumerate().filter(|(n, _)| *n != first).for_each(|(_, link)| link.cut(&names[first]));
    }
    thread::sleep(Duration::from_millis(2_500));
    record.note(&format!("controller by the store's record: {:?}", leader().map(|n| &names[n])));
    if has_trouble() {
        backends[0].crash();
    }
    thread::sleep(Duration::from_millis(3_500));
    if has_trouble() {
        backends[0].restart();
    }
    thread::sleep(Duration::from_secs(5));
    stop.store(true, Ordering::Relaxed);
    for consumer in consumers {
        let _ = consumer.join();
    }
    let ended = nodes.iter_mut().any(Node::has_ended);
    drop(nodes);
    let found = overlaps(&backends);
    let (mut both, mut long) = (0, 0);
    for overlap in &found {
        both += usize::from(overlap.both);
        long += usize::from(overlap.time > Duration::from_millis(500));
        let rule = if overlap.both { "BROKEN OWNER: both began requests: " } else { "" };
        record.note(&format!("{rule}{} held at once for {:?}", overlap.text, overlap.time));
    }
    let runs: usize = backends.iter().map(|backend| backend.runs.lock().unwrap().len()).sum();
    println!(
        "{runs} runs; same keys held by two backends: {} times, {long} of them for over half a second, {both} of them with requests begun by both",
        found.len()
    );
    let _ = std::fs::remove_dir_all(&dir);
    exit(if ended { 2 } else { i32::from(both > 0 || long > 0) });
}
