//! A node is killed twice within seconds, while requests of its wait at the gate of another node.

use {
    standin::{Backend, Node, Record, Request, Stop, Store, free_subnet, has_trouble, random, send, temp_dir},
    std::{
        collections::HashSet,
        path::Path,
        process::exit,
        sync::{Arc, Mutex, atomic::Ordering},
        thread,
        time::{Duration, Instant},
    },
};

const HOST: &str = "desk.example";
const SERVICES: [(&str, &str); 2] = [("faults-svc", "/faults/"), ("crews-svc", "/crews/")];
/// Backends of each service.
const BACKENDS: [usize; 2] = [8, 3];
const BURST: usize = 40;
/// Time from a kill to the restart by the platform.
const RESTART_DELAY: Duration = Duration::from_millis(400);
const RUN_TIME: Duration = Duration::from_secs(85);

fn work() -> Duration {
    Duration::from_millis(250 + random() % 500)
}

fn config() -> String {
    let route = |(service, prefix): (&str, &str)| {
        format!("{{\"Name\":\"r-{service}\",\"Host\":\"{HOST}\",\"PathPrefix\":\"{prefix}\",\"Kind\":\"unsafe\",\"timeout_ms\":2500,\"target_ms\":1500,\"Priority\":1,\"Service\":\"{service}\",\"MaxAttempts\":2}}")
    };
    let service = |(service, _): (&str, &str)| {
        format!("{{\"Name\":\"{service}\",\"HealthPath\":\"/health\",\"MaxConns\":110,\"Protocol\":\"h1\",\"Tls\":false}}")
    };
    let routes = SERVICES.map(route).join(",");
    let services = SERVICES.map(service).join(",");
    format!("{{\"Version\":7,\"Routes\":[{routes}],\"Services\":[{services}],\"Limits\":{{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":1048576,\"HeaderTimeoutS\":3000,\"IdleTimeoutS\":15000}}}}")
}

fn main() {
    let folder = std::env::args().nth(1).expect("the folder of the case");
    let record = Record::create(&Path::new(&folder).join("record.txt"));
    let dir = temp_dir("review-2");
    let subnet = free_subnet();
    let store = Store::start(format!("{subnet}.1:8169").parse().unwrap());
    store.put("config", "main", &config(), "null");
    let mut backends = Vec::new();
    for (number, (service, _)) in SERVICES.iter().enumerate() {
        for index in 0..BACKENDS[number] {
            let addr = format!("{subnet}.{}:8080", 100 + number * 20 + index).parse().unwrap();
            let id = format!("i-{number}{index}-{:06x}", random() % 0xff_ffff);
            let backend = Backend::start(&id, service, false, addr, work, &record);
            backend.register(&store, "a");
            backends.push(backend);
        }
    }
    let mut nodes: Vec<Node> = (0..3)
        .map(|n| Node::new(&dir, &format!("edge-a-{n}"), "a", &format!("{subnet}.{}", 10 + n), store.addr, ""))
        .collect();
    nodes.iter_mut().for_each(Node::start);
    if !nodes.iter().all(|node| node.wait_ready(Duration::from_secs(10))) {
        println!("the nodes do not become ready");
        drop(nodes);
        exit(2);
    }
    thread::sleep(Duration::from_secs(2));
    let sent: Arc<Mutex<HashSet<String>>> = Arc::default();
    let stop = Stop::default();
    let trouble = has_trouble();
    let start = Instant::now();
    let mut round = 0;
    while start.elapsed() < RUN_TIME {
        let victim = round % nodes.len();
        let others: Vec<_> =
            nodes.iter().enumerate().filter(|(n, _)| *n != victim).map(|(_, node)| node.front).collect();
        let hold = Arc::new(std::sync::atomic::AtomicBool::new(false));
        // The other consumers, at the other nodes: some more than the backends have slots.
        let consumers: Vec<_> = (0..32)
            .map(|n| {
                let (to, hold, record) = (others[n % others.len()], hold.clone(), record.clone());
                let sent = sent.clone();
                thread::spawn(move || {
                    while !hold.load(Ordering::Relaxed) {
                        one(to, usize::from(n % 4 == 3), &record, &sent);
                    }
                })
            })
            .collect();
        if trouble {
            record.note(&format!("kill {}", nodes[victim].name));
            nodes[victim].kill();
            thread::sleep(RESTART_DELAY);
            nodes[victim].start();
        }
        nodes[victim].wait_ready(Duration::from_secs(5));
        thread::sleep(Duration::from_millis(300));
        let first = burst(nodes[victim].front, 0, &record, &sent);
        thread::sleep(Duration::from_millis(80));
        if trouble {
            record.note(&format!("kill {} again", nodes[victim].name));
            nodes[victim].kill();
            thread::sleep(RESTART_DELAY);
            nodes[victim].start();
        }
        let front = nodes[victim].front;
        let end = Instant::now() + Duration::from_secs(2);
        while Instant::now() < end && std::net::TcpStream::connect(front).is_err() {
            thread::sleep(Duration::from_millis(2));
        }
        // The first consumers come back at once: until it knows the config, the node answers 503.
        thread::sleep(Duration::from_millis(12));
        let second = burst(front, 1, &record, &sent);
        for thread in first.into_iter().chain(second) {
            let _ = thread.join();
        }
        hold.store(true, Ordering::Relaxed);
        for thread in consumers {
            let _ = thread.join();
        }
        round += 1;
        if nodes.iter_mut().any(Node::has_ended) {
            println!("a node has ended by itself");
            drop(nodes);
            exit(2);
        }
    }
    stop.store(true, Ordering::Relaxed);
    drop(nodes);
    let prefix = |service: &str| SERVICES.iter().find(|(name, _)| *name == service).unwrap().1;
    let (mut total, mut wrong) = (0, 0);
    for backend in &backends {
        for (id, path) in backend.runs.lock().unwrap().iter() {
            total += 1;
            if !path.starts_with(prefix(&backend.service)) {
                wrong += 1;
                record.note(&format!("BROKEN ROUTE: {id} {path} was run by {} of {}", backend.id, backend.service));
            }
        }
    }
    println!("{round} rounds, {total} runs, {wrong} of them by a service to which no config sends them");
    let _ = std::fs::remove_dir_all(&dir);
    exit(i32::from(wrong > 0));
}

/// Sends one request to a service and waits for its answer.
fn one(to: std::net::SocketAddr, service: usize, record: &Record, sent: &Mutex<HashSet<String>>) {
    let id = format!("{:016x}", random());
    sent.lock().unwrap().insert(id.clone());
    let path = format!("{}x", SERVICES[service].1);
    let wait = Duration::from_millis(2_500);
    let request = Request { method: "POST", host: HOST, path: &path, id: &id, key: None, wait };
    let (status, _) = send(to, &request, record);
    if status != 200 {
        thread::sleep(Duration::from_millis(50));
    }
}

/// Sends many requests at once.
fn burst(
    to: std::net::SocketAddr,
    service: usize,
    record: &Arc<Record>,
    sent: &Arc<Mutex<HashSet<String>>>,
) -> Vec<thread::JoinHandle<()>> {
    (0..BURST)
        .map(|_| {
            let (record, sent) = (record.clone(), sent.clone());
            thread::spawn(move || one(to, service, &record, &sent))
        })
        .collect()
}
