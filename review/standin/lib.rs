//! Stand-ins for the scripts of this review, with the standard library alone: the platform's store, backends,
//! consumers, and nodes as child processes. They speak what PROTOCOL.md says, with the names of deploy/wire.toml.

use std::{
    collections::{BTreeMap, HashMap},
    fs::{File, create_dir_all},
    io::{BufRead, BufReader, Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    path::{Path, PathBuf},
    process::{Child, Command},
    sync::{
        Arc, Condvar, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

/// The record of a run: what was sent, answered and run.
pub struct Record {
    start: Instant,
    file: Mutex<File>,
}

impl Record {
    pub fn create(path: &Path) -> Arc<Self> {
        let file = File::create(path).expect("the record can be written");
        Arc::new(Self { start: Instant::now(), file: Mutex::new(file) })
    }

    pub fn note(&self, text: &str) {
        let at = self.start.elapsed().as_secs_f64();
        let _ = writeln!(self.file.lock().unwrap(), "{at:9.4} {text}");
    }
}

/// A small random number generator; good enough to spread work.
pub fn random() -> u64 {
    static STATE: AtomicU64 = AtomicU64::new(0x9E37_79B9_7F4A_7C15);
    let mut x = STATE.fetch_add(0x9E37_79B9_7F4A_7C15, Ordering::Relaxed);
    x = (x ^ (x >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
    x ^ (x >> 31)
}

/// One HTTP message: the first line, the headers in lower case, and the body.
#[derive(Debug, Default)]
pub struct Message {
    pub line: String,
    pub headers: HashMap<String, String>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", String::as_str)
    }

    pub fn status(&self) -> u16 {
        self.line.split(' ').nth(1).and_then(|code| code.parse().ok()).unwrap_or(0)
    }
}

/// Reads one message with a length, chunks, or no body.
pub fn read_message(reader: &mut BufReader<TcpStream>) -> Option<Message> {
    let mut message = Message::default();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let line = line.trim_end();
        if message.line.is_empty() {
            message.line = line.into();
        } else if line.is_empty() {
            break;
        } else if let Some((name, value)) = line.split_once(':') {
            message.headers.insert(name.trim().to_ascii_lowercase(), value.trim().into());
        }
    }
    if message.header("transfer-encoding").contains("chunked") {
        loop {
            let mut size = String::new();
            reader.read_line(&mut size).ok()?;
            let size = usize::from_str_radix(size.trim(), 16).ok()?;
            let mut chunk = vec![0; size + 2];
            reader.read_exact(&mut chunk).ok()?;
            if size == 0 {
                return Some(message);
            }
            message.body.extend_from_slice(&chunk[..size]);
        }
    }
    let length: usize = message.header("content-length").parse().unwrap_or(0);
    message.body = vec![0; length];
    reader.read_exact(&mut message.body).ok()?;
    Some(message)
}

fn reply(stream: &mut TcpStream, status: &str, headers: &str, body: &str) -> bool {
    let length = body.len();
    let text = format!("HTTP/1.1 {status}\r\nContent-Length: {length}\r\n{headers}\r\n{body}");
    stream.write_all(text.as_bytes()).is_ok()
}

/// Returns what follows a name in JSON text that the node wrote, up to the end of the value.
pub fn json_value<'a>(text: &'a str, name: &str) -> Option<&'a str> {
    let at = text.find(&format!("\"{name}\":"))? + name.len() + 3;
    let rest = &text[at..];
    let end = match rest.strip_prefix('"') {
        Some(inner) => inner.find('"')? + 2,
        None => rest.find([',', '}']).unwrap_or(rest.len()),
    };
    Some(&rest[..end])
}

struct Object {
    revision: u64,
    spec: String,
    status: String,
}

impl Object {
    fn json(&self, name: &str) -> String {
        let Self { revision, spec, status } = self;
        format!(
            "{{\"Metadata\":{{\"Name\":\"{name}\",\"Revision\":{revision},\"Created\":1,\"Finalizers\":[],\"Deleting\":false}},\"Spec\":{spec},\"Status\":{status}}}"
        )
    }
}

#[derive(Default)]
struct Objects {
    revision: u64,
    kinds: HashMap<String, BTreeMap<String, Object>>,
    /// Revision, kind, object and whether it was deleted.
    events: Vec<(u64, String, String, bool)>,
}

/// The platform's store.
pub struct Store {
    pub addr: SocketAddr,
    objects: Mutex<Objects>,
    changed: Condvar,
}

impl Store {
    pub fn start(addr: SocketAddr) -> Arc<Self> {
        let listener = TcpListener::bind(addr).expect("the store's address is free");
        let objects = Mutex::new(Objects { revision: 100, ..Objects::default() });
        let store = Arc::new(Self { addr, objects, changed: Condvar::new() });
        let shared = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = shared.clone();
                thread::spawn(move || store.serve(stream));
            }
        });
        store
    }

    /// Writes an object, as the operator or a backend does.
    pub fn put(&self, kind: &str, name: &str, spec: &str, status: &str) {
        let mut objects = self.objects.lock().unwrap();
        objects.put(kind, name, spec.into(), status.into());
        self.changed.notify_all();
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut out = stream.try_clone().unwrap();
        let mut reader = BufReader::new(stream);
        while let Some(message) = read_message(&mut reader) {
            thread::sleep(Duration::from_millis(4));
            let (status, body) = self.answer(&message);
            if !reply(&mut out, status, "Content-Type: application/json\r\n", &body) {
                return;
            }
        }
    }

    fn answer(&self, message: &Message) -> (&'static str, String) {
        let mut words = message.line.split(' ');
        let (method, target) = (words.next().unwrap_or(""), words.next().unwrap_or(""));
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let rest = path.strip_prefix("/-/objects/").unwrap_or("");
        let (kind, name) = rest.split_once('/').unwrap_or((rest, ""));
        let query: HashMap<&str, &str> =
            query.split('&').filter_map(|pair| pair.split_once('=')).collect();
        let text = String::from_utf8_lossy(&message.body).into_owned();
        let mut objects = self.objects.lock().unwrap();
        match method {
            "GET" if !name.is_empty() => match objects.kinds.get(kind).and_then(|k| k.get(name)) {
                Some(object) => ("200 OK", object.json(name)),
                None => ("404 Not Found", "{}".into()),
            },
            "GET" if query.contains_key("Watch") => {
                let after: u64 = query["Watch"].parse().unwrap_or(0);
                let wait: u64 = query.get("wait_ms").and_then(|ms| ms.parse().ok()).unwrap_or(0);
                let end = Instant::now() + Duration::from_millis(wait);
                loop {
                    let found: Vec<String> = objects
                        .events
                        .iter()
                        .filter(|(at, of, ..)| *at > after && of == kind)
                        .map(|(_, _, object, gone)| {
                            format!("{{\"Deleted\":{gone},\"Object\":{object}}}")
                        })
                        .collect();
                    let left = end.saturating_duration_since(Instant::now());
                    if !found.is_empty() || left.is_zero() {
                        let (events, at) = (found.join(","), objects.revision);
                        let body = format!("{{\"events\":[{events}],\"CurrentRev\":{at}}}");
                        return ("200 OK", body);
                    }
                    objects = self.changed.wait_timeout(objects, left).unwrap().0;
                }
            }
            "GET" => {
                let items = objects.kinds.get(kind).into_iter().flatten();
                let items: Vec<String> = items.map(|(name, object)| object.json(name)).collect();
                let (items, at) = (items.join(","), objects.revision);
                let body = format!("{{\"items\":[{items}],\"HasMore\":false,\"CurrentRev\":{at}}}");
                ("200 OK", body)
            }
            "POST" | "PUT" => {
                let named = json_value(&text, "Name").unwrap_or("\"\"").trim_matches('"');
                let expected = json_value(&text, "Revision").and_then(|rev| rev.parse().ok());
                let spec = json_value(&text, "Spec").unwrap_or("null").to_owned();
                let known = objects.kinds.get(kind).and_then(|k| k.get(named));
                let current = known.map_or(0, |object| object.revision);
                let conflict = match method {
                    "POST" => current != 0,
                    _ => expected.is_some_and(|revision: u64| revision != current),
                };
                if conflict {
                    let body = known.map_or("{}".into(), |object| object.json(named));
                    return ("409 Conflict", body);
                }
                if method == "PUT" && current == 0 {
                    return ("404 Not Found", "{}".into());
                }
                objects.put(kind, named, spec, "null".into());
                self.changed.notify_all();
                ("200 OK", objects.kinds[kind][named].json(named))
            }
            _ => ("404 Not Found", "{}".into()),
        }
    }
}

impl Objects {
    fn put(&mut self, kind: &str, name: &str, spec: String, status: String) {
        let known = self.kinds.get(kind).and_then(|known| known.get(name));
        if known.is_some_and(|known| known.spec == spec && known.status == status) {
            return;
        }
        self.revision += 1;
        let object = Object { revision: self.revision, spec, status };
        self.events.push((self.revision, kind.into(), object.json(name), false));
        self.kinds.entry(kind.into()).or_default().insert(name.into(), object);
    }
}

/// A grant that a backend holds: first and last key, fence number, end.
type Held = (u16, u16, u64, Instant);

#[derive(Default)]
struct BackendState {
    running: usize,
    waiting: usize,
    held: Vec<Held>,
    seen: Vec<(u16, u16, u64)>,
}

/// A backend of one service.
pub struct Backend {
    pub id: String,
    pub service: String,
    pub addr: SocketAddr,
    slots: usize,
    sharded: bool,
    work: fn() -> Duration,
    state: Mutex<BackendState>,
    freed: Condvar,
    record: Arc<Record>,
    /// Requests that it ran: id and path.
    pub runs: Mutex<Vec<(String, String)>>,
    /// Keys of the requests that it began, and when.
    pub begun: Mutex<Vec<(u16, Instant)>>,
    /// Times for which it held keys.
    pub holds: Mutex<Vec<Hold>>,
    alive: AtomicBool,
    born: AtomicU64,
    conns: Mutex<Vec<TcpStream>>,
}

/// A time for which a backend held keys.
#[derive(Debug, Clone)]
pub struct Hold {
    pub first: u16,
    pub last: u16,
    pub fence: u64,
    pub from: Instant,
    pub until: Instant,
}

fn unix_ms() -> u64 {
    std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).unwrap().as_millis() as u64
}

impl Backend {
    pub fn start(
        id: &str,
        service: &str,
        sharded: bool,
        addr: SocketAddr,
        work: fn() -> Duration,
        record: &Arc<Record>,
    ) -> Arc<Self> {
        let listener = TcpListener::bind(addr).expect("the backend's address is free");
        let backend = Arc::new(Self {
            id: id.into(),
            service: service.into(),
            addr,
            slots: 2,
            sharded,
            work,
            state: Mutex::default(),
            freed: Condvar::new(),
            record: record.clone(),
            runs: Mutex::default(),
            begun: Mutex::default(),
            holds: Mutex::default(),
            alive: AtomicBool::new(true),
            born: AtomicU64::new(unix_ms()),
            conns: Mutex::default(),
        });
        backend.clone().listen(listener);
        backend
    }

    fn listen(self: Arc<Self>, listener: TcpListener) {
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if !self.alive.load(Ordering::SeqCst) {
                    return;
                }
                self.conns.lock().unwrap().extend(stream.try_clone());
                let backend = self.clone();
                thread::spawn(move || backend.serve(stream));
            }
        });
    }

    /// Ends the backend: it holds and knows nothing any more, and its address refuses channels.
    pub fn crash(&self) {
        self.record.note(&format!("crash {}", self.id));
        self.alive.store(false, Ordering::SeqCst);
        let _ = TcpStream::connect(self.addr);
        for stream in self.conns.lock().unwrap().drain(..) {
            let _ = stream.shutdown(std::net::Shutdown::Both);
        }
        self.end_holds(0, u16::MAX);
        *self.state.lock().unwrap() = BackendState::default();
    }

    /// Starts it again under the id that it had.
    pub fn restart(self: &Arc<Self>) {
        let listener = loop {
            match TcpListener::bind(self.addr) {
                Ok(listener) => break listener,
                Err(_) => thread::sleep(Duration::from_millis(10)),
            }
        };
        self.born.store(unix_ms(), Ordering::SeqCst);
        self.alive.store(true, Ordering::SeqCst);
        self.record.note(&format!("restart {}", self.id));
        self.clone().listen(listener);
    }

    /// Ends the holds of keys now, as far as they lie in a range.
    fn end_holds(&self, first: u16, last: u16) {
        let now = Instant::now();
        let mut holds = self.holds.lock().unwrap();
        let mut rest = Vec::new();
        for hold in holds.iter_mut().filter(|h| h.until > now && h.first <= last && h.last >= first) {
            if hold.first < first {
                rest.push(Hold { last: first - 1, from: now, ..hold.clone() });
            }
            if hold.last > last {
                rest.push(Hold { first: last + 1, from: now, ..hold.clone() });
            }
            hold.until = now;
        }
        holds.extend(rest);
    }

    /// Registers the backend, and reports every so often, as a backend does.
    pub fn register(self: &Arc<Self>, store: &Arc<Store>, zone: &str) {
        let (backend, store, zone) = (self.clone(), store.clone(), zone.to_owned());
        let report = move |sequence: u64| {
            let Backend { id, service, addr, slots, .. } = &*backend;
            let info = format!(
                "{{\"Info\":{{\"Service\":\"{service}\",\"Address\":\"{addr}\",\"Zone\":\"{zone}\",\"Version\":\"v1\",\"Slots\":{slots}}}}}"
            );
            let born = backend.born.load(Ordering::SeqCst);
            let info = info.replace("\"Info\"", &format!("\"born\":{born},\"Info\""));
            let status = format!(
                "{{\"born\":{born},\"State\":\"ready\",\"ColdLeftS\":0,\"Sequence\":{sequence}}}"
            );
            if backend.alive.load(Ordering::SeqCst) {
                store.put("servers", id, &info, &status);
            }
        };
        report(1);
        thread::spawn(move || {
            for sequence in 2.. {
                thread::sleep(Duration::from_millis(1_500));
                report(sequence);
            }
        });
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut out = stream.try_clone().unwrap();
        let mut reader = BufReader::new(stream);
        while let Some(message) = read_message(&mut reader) {
            let target = message.header("target-instance");
            if !target.is_empty() && target != self.id {
                let id = format!("Instance-Id: {}\r\n", self.id);
                if !reply(&mut out, "421 Misdirected Request", &id, "") {
                    return;
                }
                continue;
            }
            let path = message.line.split(' ').nth(1).unwrap_or("").to_owned();
            let (status, headers) = match path.as_str() {
                "/-/grant" => (self.grant(&message), String::new()),
                "/-/release" => (self.release(&message), "Handover: 00\r\n".into()),
                "/health" => ("200 OK", format!("Instance-Id: {}\r\n", self.id)),
                _ => self.run(&message, &path),
            };
            let body = format!("{} {path}", self.service);
            if !reply(&mut out, status, &headers, &body) {
                return;
            }
        }
    }

    fn grant(&self, message: &Message) -> &'static str {
        let text = String::from_utf8_lossy(&message.body).into_owned();
        let number = |name| json_value(&text, name).and_then(|v| v.parse::<u64>().ok()).unwrap_or(0);
        let (first, last) = (number("From") as u16, number("Target") as u16);
        let (fence, hold) = (number("fence"), number("hold_ms"));
        let mut state = self.state.lock().unwrap();
        let overlaps = |a: u16, b: u16| a <= last && b >= first;
        if state.seen.iter().any(|(a, b, seen)| overlaps(*a, *b) && *seen > fence) {
            return "409 Conflict";
        }
        state.seen.push((first, last, fence));
        let held = std::mem::take(&mut state.held);
        for (a, b, of, end) in held {
            if b < first || a > last {
                state.held.push((a, b, of, end));
                continue;
            }
            if a < first {
                state.held.push((a, first - 1, of, end));
            }
            if b > last {
                state.held.push((last + 1, b, of, end));
            }
        }
        let until = Instant::now() + Duration::from_millis(hold);
        state.held.push((first, last, fence, until));
        self.end_holds(first, last);
        self.holds.lock().unwrap().push(Hold { first, last, fence, from: Instant::now(), until });
        self.record.note(&format!("grant {first}-{last} fence {fence} for {hold} ms at {}", self.id));
        "200 OK"
    }

    fn release(&self, message: &Message) -> &'static str {
        let text = String::from_utf8_lossy(&message.body).into_owned();
        let number = |name| json_value(&text, name).and_then(|v| v.parse::<u64>().ok()).unwrap_or(0);
        let (first, last) = (number("From") as u16, number("Target") as u16);
        let mut state = self.state.lock().unwrap();
        let held = std::mem::take(&mut state.held);
        for (a, b, fence, until) in held {
            if b < first || a > last {
                state.held.push((a, b, fence, until));
                continue;
            }
            if a < first {
                state.held.push((a, first - 1, fence, until));
            }
            if b > last {
                state.held.push((last + 1, b, fence, until));
            }
        }
        self.end_holds(first, last);
        self.record.note(&format!("release {first}-{last} at {}", self.id));
        "200 OK"
    }

    fn run(&self, message: &Message, path: &str) -> (&'static str, String) {
        let id = message.header("request-id").to_owned();
        let echo = format!("Request-Id: {id}\r\n");
        let not_run = format!("{echo}Not-Executed: 1\r\n");
        if id.is_empty() {
            return ("400 Bad Request", not_run);
        }
        let mut state = self.state.lock().unwrap();
        if self.sharded {
            let key: Option<u16> = message.header("shard-key").parse().ok();
            let now = Instant::now();
            let held = |key: u16| state.held.iter().any(|h| h.0 <= key && key <= h.1 && now < h.3);
            let Some(key) = key.filter(|key| held(*key)) else {
                return ("421 Misdirected Request", not_run);
            };
            self.begun.lock().unwrap().push((key, now));
        }
        if state.running >= self.slots && state.waiting >= 8 {
            return ("503 Service Unavailable", not_run);
        }
        let left: u64 = message.header("request-deadline").parse().unwrap_or(30_000);
        let end = Instant::now() + Duration::from_millis(left);
        state.waiting += 1;
        while state.running >= self.slots {
            let wait = end.saturating_duration_since(Instant::now());
            if wait.is_zero() {
                state.waiting -= 1;
                return ("503 Service Unavailable", not_run);
            }
            state = self.freed.wait_timeout(state, wait).unwrap().0;
        }
        state.waiting -= 1;
        state.running += 1;
        drop(state);
        self.record.note(&format!("run {id} {path} at {} ({})", self.id, self.service));
        self.runs.lock().unwrap().push((id, path.into()));
        thread::sleep((self.work)());
        self.state.lock().unwrap().running -= 1;
        self.freed.notify_one();
        ("200 OK", format!("{echo}Response-Seal: {}\r\n", self.id))
    }
}

/// A request of a consumer.
pub struct Request<'a> {
    pub method: &'a str,
    pub host: &'a str,
    pub path: &'a str,
    pub id: &'a str,
    pub key: Option<u16>,
    pub wait: Duration,
}

/// Sends a request over a new channel; returns the status and the body of the answer. Without one, the status is 0.
pub fn send(to: SocketAddr, request: &Request<'_>, record: &Record) -> (u16, String) {
    let Request { method, host, path, id, key, wait } = request;
    let result = (|| {
        let mut stream = TcpStream::connect_timeout(&to, Duration::from_secs(1)).ok()?;
        let _ = stream.set_nodelay(true);
        let _ = stream.set_read_timeout(Some(*wait));
        let key = key.map(|key| format!("Shard-Key: {key}\r\n")).unwrap_or_default();
        let ms = wait.as_millis();
        let body = if *method == "POST" { "Content-Length: 0\r\n" } else { "" };
        let head = format!(
            "{method} {path} HTTP/1.1\r\nHost: {host}\r\nRequest-Id: {id}\r\nRequest-Deadline: {ms}\r\n{key}{body}\r\n"
        );
        record.note(&format!("send {id} {method} {path} to {to}"));
        stream.write_all(head.as_bytes()).ok()?;
        read_message(&mut BufReader::new(stream))
    })();
    let status = result.as_ref().map_or(0, Message::status);
    let body = result.map(|m| String::from_utf8_lossy(&m.body).into_owned()).unwrap_or_default();
    record.note(&format!("answer {id} {status} {body}"));
    (status, body)
}

/// A node of the router as a child process.
pub struct Node {
    pub name: String,
    pub front: SocketAddr,
    pub ready: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
}

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
}

pub const SIGKILL: i32 = 9;
pub const SIGTERM: i32 = 15;
pub const SIGSTOP: i32 = 19;
pub const SIGCONT: i32 = 18;

impl Node {
    /// Creates a node with its own loopback address; `lines` are more lines of the section `node`.
    pub fn new(dir: &Path, name: &str, zone: &str, ip: &str, store: SocketAddr, lines: &str) -> Self {
        let text = format!(
            "[node]\nname = {name}\ndomain = {zone}\ncaller = {ip}:8161\nready = {ip}:8167\npeer = {ip}:7720\nmetrics = {ip}:7735\nstore = {store}\n{lines}\n[limits]\ngrace_s = 6\ndrain_ms = 2000\nhold_ms = 10000\nretry_ratio = 0.2\nretry_extra = 58\ncores = 0.2\n"
        );
        let settings = dir.join(format!("{name}.ini"));
        std::fs::write(&settings, text).expect("the settings can be written");
        let (front, ready) = (format!("{ip}:8161"), format!("{ip}:8167"));
        Self {
            name: name.into(),
            front: front.parse().unwrap(),
            ready: ready.parse().unwrap(),
            settings,
            log: dir.join(format!("{name}.log")),
            child: None,
        }
    }

    pub fn start(&mut self) {
        let log = File::options().create(true).append(true).open(&self.log).unwrap();
        let mut command = Command::new("target/node/whinspring-node");
        command.arg("--config").arg(&self.settings).stdout(log.try_clone().unwrap()).stderr(log);
        self.child = Some(command.spawn().expect("the node starts"));
    }

    pub fn signal(&self, signal: i32) {
        if let Some(child) = &self.child {
            unsafe { kill(child.id() as i32, signal) };
        }
    }

    /// Kills the process and waits for its end.
    pub fn kill(&mut self) {
        self.signal(SIGKILL);
        if let Some(mut child) = self.child.take() {
            let _ = child.wait();
        }
    }

    /// Returns whether the process has ended by itself.
    pub fn has_ended(&mut self) -> bool {
        self.child.as_mut().is_some_and(|child| matches!(child.try_wait(), Ok(Some(_))))
    }

    pub fn is_ready(&self) -> bool {
        let Ok(mut stream) = TcpStream::connect_timeout(&self.ready, Duration::from_millis(200)) else {
            return false;
        };
        let _ = stream.set_read_timeout(Some(Duration::from_millis(500)));
        let _ = stream.write_all(b"GET /-/ready HTTP/1.1\r\nHost: ready\r\n\r\n");
        read_message(&mut BufReader::new(stream)).is_some_and(|message| message.status() == 200)
    }

    /// Waits until the node is ready, at most for some time.
    pub fn wait_ready(&self, most: Duration) -> bool {
        let end = Instant::now() + most;
        while Instant::now() < end {
            if self.is_ready() {
                return true;
            }
            thread::sleep(Duration::from_millis(20));
        }
        false
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        self.kill();
    }
}

/// A set of loopback addresses that nobody uses: `127.A.B.x` with a random A and B.
pub fn free_subnet() -> String {
    let seed = u64::from(std::process::id());
    for try_ in 0..50 {
        let n = (seed * 7 + try_ * 131) % 50_000;
        let subnet = format!("127.{}.{}", 20 + n / 250, 1 + n % 250);
        if TcpListener::bind(format!("{subnet}.1:8169")).is_ok() {
            return subnet;
        }
    }
    std::process::exit(2);
}

/// Creates an empty temporary folder.
pub fn temp_dir(name: &str) -> PathBuf {
    let dir = std::env::temp_dir().join(format!("{name}-{}", std::process::id()));
    create_dir_all(&dir).expect("a temporary folder can be created");
    dir
}

/// Returns whether the case is to be played with its disruption.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// A flag that ends threads.
pub type Stop = Arc<AtomicBool>;

/// A proxy that can fall silent: for all channels, or for those whose first bytes hold a name.
pub struct Proxy {
    pub addr: SocketAddr,
    cut: Mutex<Option<String>>,
}

impl Proxy {
    pub fn start(addr: SocketAddr, target: SocketAddr) -> Arc<Self> {
        let listener = TcpListener::bind(addr).expect("the proxy's address is free");
        let proxy = Arc::new(Self { addr, cut: Mutex::default() });
        let shared = proxy.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let proxy = shared.clone();
                thread::spawn(move || proxy.forward(stream, target));
            }
        });
        proxy
    }

    /// Cuts the channels whose first bytes hold a name; all if it is empty.
    pub fn cut(&self, name: &str) {
        *self.cut.lock().unwrap() = Some(name.into());
    }

    fn is_cut(&self, head: &[u8]) -> bool {
        let cut = self.cut.lock().unwrap();
        let holds = |name: &str| head.windows(name.len().max(1)).any(|part| part == name.as_bytes());
        cut.as_deref().is_some_and(|name| name.is_empty() || holds(name))
    }

    fn forward(self: Arc<Self>, mut from: TcpStream, target: SocketAddr) {
        let mut head = vec![0; 4_096];
        let Ok(bytes) = from.read(&mut head) else { return };
        head.truncate(bytes);
        while self.is_cut(&head) {
            thread::sleep(Duration::from_millis(20));
        }
        let Ok(mut to) = TcpStream::connect(target) else { return };
        let _ = (from.set_nodelay(true), to.set_nodelay(true));
        let _ = to.write_all(&head);
        let (mut back_from, mut back_to) = (to.try_clone().unwrap(), from.try_clone().unwrap());
        let (proxy, tag) = (self.clone(), head.clone());
        thread::spawn(move || proxy.pump(&mut back_from, &mut back_to, &tag));
        self.pump(&mut from, &mut to, &head);
    }

    fn pump(&self, from: &mut TcpStream, to: &mut TcpStream, head: &[u8]) {
        let mut bytes = vec![0; 64 << 10];
        loop {
            let count = from.read(&mut bytes).unwrap_or(0);
            while self.is_cut(head) {
                thread::sleep(Duration::from_millis(20));
            }
            if count == 0 || to.write_all(&bytes[..count]).is_err() {
                let _ = (from.shutdown(std::net::Shutdown::Both), to.shutdown(std::net::Shutdown::Both));
                return;
            }
        }
    }
}

/// Decodes base64 as far as it goes.
pub fn decode(text: &str) -> Vec<u8> {
    let digit = |c: u8| match c {
        b'A'..=b'Z' => Some(c - b'A'),
        b'a'..=b'z' => Some(c - b'a' + 26),
        b'0'..=b'9' => Some(c - b'0' + 52),
        b'+' => Some(62),
        b'/' => Some(63),
        _ => None,
    };
    let (mut bits, mut count, mut out) = (0u32, 0, Vec::new());
    for value in text.bytes().filter_map(digit) {
        bits = bits << 6 | u32::from(value);
        count += 6;
        if count >= 8 {
            count -= 8;
            out.push((bits >> count) as u8);
            bits &= (1 << count) - 1;
        }
    }
    out
}

impl Store {
    /// Returns the value that the system has stored in an object, decoded.
    pub fn value(&self, kind: &str, name: &str) -> Vec<u8> {
        let objects = self.objects.lock().unwrap();
        let found = objects.kinds.get(kind).and_then(|kind| kind.get(name));
        found.map(|object| decode(&object.spec)).unwrap_or_default()
    }
}

/// Two backends that held the same keys at the same time: first and last key, how long, and whether both began
/// requests on such keys in that time.
pub struct Overlap {
    pub text: String,
    pub time: Duration,
    pub both: bool,
}

/// Finds the times in which two backends held the same keys.
pub fn overlaps(backends: &[Arc<Backend>]) -> Vec<Overlap> {
    let mut found = Vec::new();
    for (index, one) in backends.iter().enumerate() {
        for other in &backends[index + 1..] {
            let (holds, others) = (one.holds.lock().unwrap().clone(), other.holds.lock().unwrap().clone());
            for a in &holds {
                for b in &others {
                    let (first, last) = (a.first.max(b.first), a.last.min(b.last));
                    let (from, until) = (a.from.max(b.from), a.until.min(b.until));
                    if first > last || from >= until {
                        continue;
                    }
                    let begins = |backend: &Backend| {
                        let begun = backend.begun.lock().unwrap();
                        begun.iter().any(|(k, at)| (first..=last).contains(k) && *at >= from && *at < until)
                    };
                    let text = format!(
                        "keys {first}-{last}: {} (fence {}) and {} (fence {})",
                        one.id, a.fence, other.id, b.fence
                    );
                    let both = begins(one) && begins(other);
                    found.push(Overlap { text, time: until - from, both });
                }
            }
        }
    }
    found
}
