//! A backend that takes no new channels for a while, as paths to it are cut, rejects a request, sends its rejection once more when the request
//! comes again, and runs it.

use {
    standin::{Backend, Message, json_value, Node, Record, Request, Store, free_subnet, has_trouble, random, read_message, send, temp_dir},
    std::{
        collections::HashSet,
        io::{BufReader, Write},
        net::{SocketAddr, TcpListener, TcpStream},
        path::Path,
        process::exit,
        sync::{Arc, Mutex, atomic::{AtomicBool, Ordering}},
        thread,
        time::{Duration, Instant},
    },
};

const HOST: &str = "desk.example";
const RUN_TIME: Duration = Duration::from_secs(30);

/// A backend of its own kind: it rejects each request the first time, as one that is full does.
struct Orders {
    id: String,
    addr: SocketAddr,
    record: Arc<Record>,
    extra: bool,
    open: AtomicBool,
    /// Keys that it holds: first, last, until when.
    held: Mutex<Vec<(u16, u16, Instant)>>,
    /// Requests that it has rejected, and that it has begun to run.
    rejected: Mutex<HashSet<String>>,
    ran: Mutex<Vec<String>>,
}

impl Orders {
    /// Takes new channels until it is closed; those that are open live on.
    fn listen(self: &Arc<Self>) {
        let listener = loop {
            match TcpListener::bind(self.addr) {
                Ok(listener) => break listener,
                Err(_) => thread::sleep(Duration::from_millis(5)),
            }
        };
        self.open.store(true, Ordering::SeqCst);
        let backend = self.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if !backend.open.load(Ordering::SeqCst) {
                    return;
                }
                let backend = backend.clone();
                thread::spawn(move || backend.serve(stream));
            }
        });
    }

    fn close(&self) {
        self.record.note("the backend takes no new channels; those that are open live on");
        self.open.store(false, Ordering::SeqCst);
        let _ = TcpStream::connect(self.addr);
        while TcpStream::connect(self.addr).is_ok() {
            thread::sleep(Duration::from_millis(1));
        }
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut out = stream.try_clone().unwrap();
        let mut reader = BufReader::new(stream);
        // The last rejection on this channel: its id and its bytes.
        let mut last: Option<(String, String)> = None;
        while let Some(message) = read_message(&mut reader) {
            let id = message.header("request-id").to_owned();
            let path = message.line.split(' ').nth(1).unwrap_or("").to_owned();
            let answer = self.answer(&message, &id, &path, &mut out, &mut last);
            if out.write_all(answer.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn answer(
        &self,
        message: &Message,
        id: &str,
        path: &str,
        out: &mut TcpStream,
        last: &mut Option<(String, String)>,
    ) -> String {
        let target = message.header("target-instance");
        if !target.is_empty() && target != self.id {
            return format!("HTTP/1.1 421 Misdirected Request\r\nInstance-Id: {}\r\nContent-Length: 0\r\n\r\n", self.id);
        }
        if path == "/-/grant" || path == "/-/release" {
            self.keep(message, path == "/-/grant");
            return "HTTP/1.1 200 OK\r\nHandover: 00\r\nContent-Length: 0\r\n\r\n".into();
        }
        if path == "/health" || id.is_empty() {
            return format!("HTTP/1.1 200 OK\r\nInstance-Id: {}\r\nContent-Length: 0\r\n\r\n", self.id);
        }
        if !message.header("shard-key").parse().is_ok_and(|key| self.holds(key)) {
            return format!("HTTP/1.1 421 Misdirected Request\r\nRequest-Id: {id}\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n");
        }
        if path.starts_with("/orders/x") && self.rejected.lock().unwrap().insert(id.into()) {
            self.record.note(&format!("reject {id}: not run"));
            let text = format!("HTTP/1.1 503 Service Unavailable\r\nRequest-Id: {id}\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n");
            *last = Some((id.into(), text.clone()));
            return text;
        }
        if let Some((_, text)) = last.take().filter(|(known, _)| self.extra && known == id) {
            self.record.note(&format!("extra copy of the rejection of {id}, late, on its channel"));
            let _ = out.write_all(text.as_bytes());
        }
        self.record.note(&format!("run {id} {path}"));
        self.ran.lock().unwrap().push(id.into());
        thread::sleep(Duration::from_millis(if path.starts_with("/orders/x") { 150 } else { 5 }));
        format!("HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nResponse-Seal: {}\r\nContent-Length: 2\r\n\r\nok", self.id)
    }
}

impl Orders {
    fn holds(&self, key: u16) -> bool {
        let now = Instant::now();
        self.held.lock().unwrap().iter().any(|h| h.0 <= key && key <= h.1 && now < h.2)
    }

    /// Returns a key that it holds.
    fn key(&self) -> Option<u16> {
        let now = Instant::now();
        self.held.lock().unwrap().iter().find(|h| now < h.2).map(|h| h.0 + (h.1 - h.0) / 2)
    }

    /// Takes keys, or gives them back.
    fn keep(&self, message: &Message, takes: bool) {
        let text = String::from_utf8_lossy(&message.body).into_owned();
        let number = |name| json_value(&text, name).and_then(|v| v.parse::<u64>().ok()).unwrap_or(0);
        let (first, last) = (number("From") as u16, number("Target") as u16);
        let mut held = self.held.lock().unwrap();
        let known = std::mem::take(&mut *held);
        for (a, b, until) in known {
            if b < first || a > last {
                held.push((a, b, until));
                continue;
            }
            if a < first {
                held.push((a, first - 1, until));
            }
            if b > last {
                held.push((last + 1, b, until));
            }
        }
        if takes {
            held.push((first, last, Instant::now() + Duration::from_millis(number("hold_ms"))));
        }
    }
}

fn config() -> String {
    let route = |service: &str, prefix: &str| {
        format!("{{\"Name\":\"r-{service}\",\"Host\":\"{HOST}\",\"PathPrefix\":\"{prefix}\",\"Kind\":\"unsafe\",\"timeout_ms\":2500,\"target_ms\":500,\"Priority\":1,\"Service\":\"{service}\",\"MaxAttempts\":2}}")
    };
    let service = |name: &str| {
        let keyed = if name == "orders-svc" { ",\"Sharded\":true,\"WarmS\":3.0,\"Grants\":\"direct_call\"" } else { "" };
        format!("{{\"Name\":\"{name}\",\"HealthPath\":\"/health\",\"MaxConns\":110,\"Protocol\":\"h1\",\"Tls\":false{keyed}}}")
    };
    format!(
        "{{\"Version\":7,\"Routes\":[{},{}],\"Services\":[{},{}],\"Limits\":{{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":1048576,\"HeaderTimeoutS\":3000,\"IdleTimeoutS\":15000}}}}",
        route("orders-svc", "/orders/"), route("other-svc", "/other/"), service("orders-svc"), service("other-svc")
    )
}

fn work() -> Duration {
    Duration::from_millis(10)
}

fn main() {
    let folder = std::env::args().nth(1).expect("the folder of the case");
    let record = Record::create(&Path::new(&folder).join("record.txt"));
    let dir = temp_dir("review-4");
    let subnet = free_subnet();
    let addr = |host: usize, port: u16| -> SocketAddr { format!("{subnet}.{host}:{port}").parse().unwrap() };
    let store = Store::start(addr(1, 8169));
    store.put("config", "main", &config(), "null");
    let trouble = has_trouble();
    let orders = Arc::new(Orders {
        id: format!("i-orders-{:06x}", random() % 0xff_ffff),
        addr: addr(100, 8080),
        record: record.clone(),
        extra: trouble,
        open: AtomicBool::new(false),
        held: Mutex::default(),
        rejected: Mutex::default(),
        ran: Mutex::default(),
    });
    orders.listen();
    let info = format!("{{\"Info\":{{\"Service\":\"orders-svc\",\"Address\":\"{}\",\"Zone\":\"a\",\"Version\":\"v1\",\"Slots\":2}}}}", orders.addr);
    let (beats, id) = (store.clone(), orders.id.clone());
    let beat = move |n: u64| beats.put("servers", &id, &info, &format!("{{\"State\":\"ready\",\"ColdLeftS\":0,\"Sequence\":{n}}}"));
    beat(1);
    thread::spawn(move || {
        for n in 2.. {
            thread::sleep(Duration::from_millis(1_500));
            beat(n);
        }
    });
    for index in 0..4 {
        let id = format!("i-second-{index}-{:06x}", random() % 0xff_ffff);
        Backend::start(&id, "orders-svc", true, addr(101 + index, 8080), work, &record).register(&store, "a");
    }
    for index in 0..4 {
        let id = format!("i-other-{index}-{:06x}", random() % 0xff_ffff);
        Backend::start(&id, "other-svc", false, addr(110 + index, 8080), work, &record).register(&store, "a");
    }
    let mut nodes: Vec<Node> = (0..4)
        .map(|n| Node::new(&dir, &format!("edge-a-{n}"), "a", &format!("{subnet}.{}", 10 + n), store.addr, ""))
        .collect();
    nodes.iter_mut().for_each(Node::start);
    if !nodes.iter().all(|node| node.wait_ready(Duration::from_secs(10))) {
        println!("the nodes do not become ready");
        drop(nodes);
        exit(2);
    }
    thread::sleep(Duration::from_secs(2));
    let post = |to: SocketAddr, path: &str, key: u16| {
        let id = format!("{:016x}", random());
        let wait = Duration::from_millis(2_500);
        let request = Request { method: "POST", host: HOST, path, id: &id, key: Some(key), wait };
        let (status, _) = send(to, &request, &record);
        (id, status)
    };
    let start = Instant::now();
    let (mut rounds, mut refused_ran, mut twice) = (0, 0, 0);
    while start.elapsed() < RUN_TIME {
        // The other nodes have served requests, so that they have a channel to the backend; the first one has none.
        thread::sleep(Duration::from_millis(1_200));
        let Some(key) = orders.key() else { continue };
        for turn in 0..42 {
            post(nodes[1 + turn % 3].front, "/orders/warm", key);
        }
        if trouble {
            orders.close();
        }
        let (id, status) = post(nodes[0].front, "/orders/x", key);
        thread::sleep(Duration::from_millis(400));
        let runs = orders.ran.lock().unwrap().iter().filter(|ran| **ran == id).count();
        if [408, 421, 429, 503].contains(&status) && runs > 0 {
            refused_ran += 1;
            record.note(&format!("BROKEN REFUSED: {id} was answered {status} and has run"));
        }
        if runs > 1 {
            twice += 1;
            record.note(&format!("BROKEN TWICE: {id} has run {runs} times"));
        }
        if trouble {
            orders.listen();
        }
        rounds += 1;
    }
    drop(nodes);
    println!("{rounds} rounds; {refused_ran} requests answered with a promise that have run; {twice} ran twice");
    let _ = std::fs::remove_dir_all(&dir);
    exit(i32::from(refused_ran + twice > 0));
}
