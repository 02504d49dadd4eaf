//! Stand-ins for the scripts of the third review, with the standard library alone: the platform's
//! store, backend servers that take grants of keys, and an operator, all on loopback. It
//! starts `whinspring-node` processes with the command of the deploy file and judges what its own
//! stand-ins have seen.
//!
//! Usage: rig CASE OUT_DIR (in the repository's root; TROUBLE=0 leaves the disruption out)

use std::{
    collections::{BTreeMap, VecDeque},
    env, fs,
    io::{BufRead, BufReader, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    os::fd::AsRawFd,
    path::PathBuf,
    process::{Child, Command, Stdio, exit},
    sync::{
        Arc, Condvar, Mutex,
        atomic::{AtomicBool, Ordering::SeqCst},
    },
    thread::{sleep, spawn},
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

const KEYS: usize = 65_536;
/// Check-in interval of the servers, `HeartbeatS` of a small deployment.
const HEARTBEAT: Duration = Duration::from_millis(870);
const SLOTS: usize = 2;
const MAX_QUEUED: usize = 8;
const RUN_TIME: Duration = Duration::from_millis(60);
/// Time for which two servers may hold the same keys, by the rule OWNER.
const HALF_SECOND: Duration = Duration::from_millis(500);

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

/// What was sent, answered and run.
struct Record {
    start: Instant,
    file: Mutex<fs::File>,
}

impl Record {
    fn line(&self, text: &str) {
        let at = self.start.elapsed().as_secs_f64();
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{at:8.3} {text}");
    }
}

// ---------------------------------------------------------------- HTTP

struct Message {
    /// Request line or status line.
    first: String,
    headers: Vec<(String, String)>,
    body: Vec<u8>,
}

impl Message {
    fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(n, _)| n == name).map(|(_, v)| v.as_str())
    }
}

/// Reads a request or a response; `None` at the end of the connection.
fn read_message(reader: &mut impl BufRead) -> Option<Message> {
    let mut first = String::new();
    if reader.read_line(&mut first).ok()? == 0 {
        return None;
    }
    let mut headers = Vec::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let line = line.trim_end();
        if line.is_empty() {
            break;
        }
        let (name, value) = line.split_once(':')?;
        headers.push((name.to_ascii_lowercase(), value.trim().to_string()));
    }
    let message = Message { first: first.trim_end().into(), headers, body: Vec::new() };
    let mut body = Vec::new();
    if let Some(length) = message.header("content-length") {
        body.resize(length.parse().ok()?, 0);
        reader.read_exact(&mut body).ok()?;
    } else if message.header("transfer-encoding").is_some() {
        loop {
            let mut line = String::new();
            reader.read_line(&mut line).ok()?;
            let size = usize::from_str_radix(line.trim().split(';').next()?, 16).ok()?;
            let mut chunk = vec![0; size + 2];
            reader.read_exact(&mut chunk).ok()?;
            if size == 0 {
                break;
            }
            body.extend_from_slice(&chunk[..size]);
        }
    }
    Some(Message { body, ..message })
}

fn response(status: u16, headers: &[(&str, String)], body: &str) -> Vec<u8> {
    let mut text = format!("HTTP/1.1 {status} X\r\nContent-Length: {}\r\n", body.len());
    for (name, value) in headers {
        text += &format!("{name}: {value}\r\n");
    }
    (text + "\r\n" + body).into_bytes()
}

/// Serves connections with one thread each. The handler returns the bytes of the response, or `None` to
/// close the connection.
fn serve(
    addr: SocketAddr,
    handler: Arc<dyn Fn(Message) -> Option<Vec<u8>> + Send + Sync>,
) -> std::io::Result<()> {
    let listener = TcpListener::bind(addr)?;
    spawn(move || {
        for stream in listener.incoming() {
            let Ok(stream) = stream else { continue };
            let handler = handler.clone();
            spawn(move || {
                let _ = stream.set_nodelay(true);
                let Ok(mut out) = stream.try_clone() else { return };
                let mut reader = BufReader::new(stream);
                while let Some(request) = read_message(&mut reader) {
                    let Some(bytes) = handler(request) else { return };
                    if out.write_all(&bytes).is_err() {
                        return;
                    }
                }
            });
        }
    });
    Ok(())
}

// ---------------------------------------------------------------- paths that can be cut

unsafe extern "C" {
    fn connect(socket: i32, address: *const u8, length: u32) -> i32;
}

/// Resets a connection, whoever else has its descriptor: connecting to no address disconnects.
fn reset(stream: &TcpStream) {
    let address = [0_u8; 16];
    unsafe { connect(stream.as_raw_fd(), address.as_ptr(), 16) };
}

/// The path from all machines to one server. While it is cut, channels are reset and new ones refused.
struct Port {
    cut: AtomicBool,
}

/// Serves connections as [`serve`] does, on a path that can be cut.
fn serve_behind(
    port: Arc<Port>,
    addr: SocketAddr,
    handler: Arc<dyn Fn(Message) -> Option<Vec<u8>> + Send + Sync>,
) {
    let mut listener = Some(TcpListener::bind(addr).expect("a free address"));
    spawn(move || {
        let mut open: Vec<TcpStream> = Vec::new();
        loop {
            if port.cut.load(SeqCst) {
                listener = None;
                open.drain(..).for_each(|stream| reset(&stream));
                sleep(ms(5));
                continue;
            }
            let current = listener
                .get_or_insert_with(|| TcpListener::bind(addr).expect("the address is still free"));
            let _ = current.set_nonblocking(true);
            let Ok((stream, _)) = current.accept() else {
                sleep(ms(2));
                continue;
            };
            let _ = stream.set_nonblocking(false);
            let _ = stream.set_nodelay(true);
            let (Ok(mut out), Ok(kept)) = (stream.try_clone(), stream.try_clone()) else {
                continue;
            };
            open.push(kept);
            let handler = handler.clone();
            spawn(move || {
                let mut reader = BufReader::new(stream);
                while let Some(request) = read_message(&mut reader) {
                    let Some(bytes) = handler(request) else { return };
                    if out.write_all(&bytes).is_err() {
                        return;
                    }
                }
            });
        }
    });
}

// ---------------------------------------------------------------- store

/// Objects by kind and name: revision and content of `Spec`.
type Objects = BTreeMap<(String, String), (u64, String)>;

struct Change {
    revision: u64,
    kind: String,
    object: String,
    deleted: bool,
}

struct StoreState {
    objects: Objects,
    revision: u64,
    /// Watches from an earlier revision get 410.
    compacted: u64,
    history: VecDeque<Change>,
    era: u64,
    away: bool,
    copies: VecDeque<(Instant, Objects, u64)>,
}

struct Store {
    state: Mutex<StoreState>,
    changed: Condvar,
}

fn object_text(name: &str, revision: u64, spec: &str) -> String {
    format!(
        r#"{{"Metadata":{{"Name":"{name}","Revision":{revision},"Created":1,"Finalizers":[],"Deleting":false}},"Spec":{spec},"Status":null}}"#
    )
}

impl Store {
    fn new() -> Arc<Self> {
        let state = StoreState {
            objects: Objects::new(),
            revision: 1,
            compacted: 0,
            history: VecDeque::new(),
            era: 1,
            away: false,
            copies: VecDeque::new(),
        };
        Arc::new(Self { state: Mutex::new(state), changed: Condvar::new() })
    }

    /// Writes an object if it has the expected revision, 0 for none; `None` expects nothing.
    fn write(
        &self,
        kind: &str,
        name: &str,
        expect: Option<u64>,
        spec: &str,
    ) -> Result<String, Option<String>> {
        let mut state = self.state.lock().unwrap();
        let key = (kind.to_string(), name.to_string());
        let known = state.objects.get(&key).cloned();
        if let Some(expect) = expect {
            let revision = known.as_ref().map_or(0, |(revision, _)| *revision);
            if revision != expect {
                return Err(known.map(|(revision, spec)| object_text(name, revision, &spec)));
            }
        }
        if let Some((revision, before)) = &known
            && before == spec
        {
            return Ok(object_text(name, *revision, spec));
        }
        state.revision += 1;
        let revision = state.revision;
        let text = object_text(name, revision, spec);
        state.objects.insert(key, (revision, spec.to_string()));
        state.history.push_back(Change {
            revision,
            kind: kind.into(),
            object: text.clone(),
            deleted: false,
        });
        drop(state);
        self.changed.notify_all();
        Ok(text)
    }

    /// Updates an object that only checks in again: the entry does not change.
    fn touch(&self, kind: &str, name: &str) -> bool {
        let state = self.state.lock().unwrap();
        state.objects.contains_key(&(kind.to_string(), name.to_string()))
    }

    fn is_away(&self) -> bool {
        self.state.lock().unwrap().away
    }

    fn set_away(&self, away: bool) {
        self.state.lock().unwrap().away = away;
        self.changed.notify_all();
    }

    fn keep_copies(self: &Arc<Self>) {
        let store = self.clone();
        spawn(move || {
            loop {
                {
                    let mut state = store.state.lock().unwrap();
                    let copy = (Instant::now(), state.objects.clone(), state.revision);
                    state.copies.push_back(copy);
                    if state.copies.len() > 60 {
                        state.copies.pop_front();
                    }
                }
                sleep(ms(250));
            }
        });
    }

    /// Comes back from a copy of the given age, in the next era.
    fn restore(&self, age: Duration) {
        let mut state = self.state.lock().unwrap();
        let found = state.copies.iter().rev().find(|(at, ..)| at.elapsed() >= age).cloned();
        let (_, objects, revision) = found.expect("a copy is that old");
        state.objects = objects;
        state.revision = revision;
        state.compacted = revision;
        state.history.clear();
        state.era += 1;
        drop(state);
        self.changed.notify_all();
    }

    fn handle(&self, request: Message) -> Option<Vec<u8>> {
        if self.is_away() {
            // Nothing is done and nothing is answered while the store is away.
            let mut state = self.state.lock().unwrap();
            while state.away {
                state = self.changed.wait(state).unwrap();
            }
            return None;
        }
        let mut words = request.first.split(' ');
        let (method, target) = (words.next()?, words.next()?);
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let path = path.strip_prefix("/-/objects/")?;
        let (kind, name) = path.split_once('/').unwrap_or((path, ""));
        let parameter =
            |key: &str| query.split('&').find_map(|pair| pair.strip_prefix(key)?.strip_prefix('='));
        let answer = match method {
            "GET" if !name.is_empty() => {
                let state = self.state.lock().unwrap();
                match state.objects.get(&(kind.into(), name.into())) {
                    Some((revision, spec)) => (200, object_text(name, *revision, spec)),
                    None => (404, "{}".into()),
                }
            }
            "GET" => match parameter("Watch") {
                Some(after) => {
                    let wait = parameter("wait_ms").and_then(|text| text.parse().ok()).unwrap_or(0);
                    self.watch(kind, after.parse().ok()?, ms(wait))?
                }
                None => self.list(kind, parameter("after").unwrap_or("")),
            },
            "PUT" | "POST" => {
                let text = String::from_utf8(request.body).ok()?;
                let spec = format!("\"{}\"", field(&text, "\"Spec\":\"", '"')?);
                let revision = number(&text, "\"Revision\":");
                let (name, expect) = match method {
                    "POST" => (field(&text, "\"Name\":\"", '"')?, Some(0)),
                    _ => (name.to_string(), revision),
                };
                match self.write(kind, &name, expect, &spec) {
                    Ok(object) => (200, object),
                    Err(Some(object)) => (409, object),
                    Err(None) => (404, "{}".into()),
                }
            }
            _ => (400, "{}".into()),
        };
        let era = self.state.lock().unwrap().era;
        let headers = [("Store-Era", era.to_string()), ("Content-Type", "application/json".into())];
        Some(response(answer.0, &headers, &answer.1))
    }

    fn list(&self, kind: &str, after: &str) -> (u16, String) {
        let state = self.state.lock().unwrap();
        let found: Vec<String> = state
            .objects
            .iter()
            .filter(|((of, name), _)| of == kind && name.as_str() > after)
            .map(|((_, name), (revision, spec))| object_text(name, *revision, spec))
            .collect();
        let more = found.len() > 500;
        let items = found[..found.len().min(500)].join(",");
        (200, format!(r#"{{"items":[{items}],"HasMore":{more},"CurrentRev":{}}}"#, state.revision))
    }

    fn watch(&self, kind: &str, after: u64, wait: Duration) -> Option<(u16, String)> {
        let end = Instant::now() + wait;
        let mut state = self.state.lock().unwrap();
        let era = state.era;
        loop {
            if state.away {
                return None;
            }
            if state.era != era || after < state.compacted || after > state.revision {
                return Some((410, "{}".into()));
            }
            let events: Vec<String> = state
                .history
                .iter()
                .filter(|it| it.kind == kind && it.revision > after)
                .map(|it| format!(r#"{{"Deleted":{},"Object":{}}}"#, it.deleted, it.object))
                .collect();
            let left = end.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let events = events.join(",");
                return Some((
                    200,
                    format!(r#"{{"events":[{events}],"CurrentRev":{}}}"#, state.revision),
                ));
            }
            state = self.changed.wait_timeout(state, left).unwrap().0;
        }
    }
}

fn field(text: &str, key: &str, end: char) -> Option<String> {
    let rest = &text[text.find(key)? + key.len()..];
    Some(rest[..rest.find(end)?].to_string())
}

fn number(text: &str, key: &str) -> Option<u64> {
    let rest = &text[text.find(key)? + key.len()..];
    let digits: String = rest.chars().take_while(char::is_ascii_digit).collect();
    digits.parse().ok()
}

// ---------------------------------------------------------------- servers

#[derive(Clone)]
struct Lease {
    first: usize,
    last: usize,
    until: Instant,
}

struct ServerState {
    leases: Vec<Lease>,
    /// Highest fence seen for each key.
    fences: Vec<u64>,
    running: Vec<usize>,
    queued: usize,
}

/// A sound backend server.
struct Server {
    id: String,
    state: Mutex<ServerState>,
    freed: Condvar,
    record: Arc<Record>,
}

impl Server {
    fn holds(&self, key: usize) -> bool {
        let state = self.state.lock().unwrap();
        state.leases.iter().any(|it| it.first <= key && key <= it.last && it.until > Instant::now())
    }

    fn handle(&self, request: Message) -> Option<Vec<u8>> {
        let id = request.header("request-id").unwrap_or("").to_string();
        let echo = |extra: &[(&'static str, String)]| {
            let mut headers = vec![("Request-Id", id.clone())];
            headers.extend(extra.iter().cloned());
            headers
        };
        if request.header("target-instance").is_some_and(|target| target != self.id) {
            return Some(response(421, &echo(&[("Instance-Id", self.id.clone())]), ""));
        }
        let path = request.first.split(' ').nth(1)?.to_string();
        let text = String::from_utf8_lossy(&request.body).to_string();
        let range = || {
            Some((
                number(&text, "\"From\":")? as usize,
                number(&text, "\"Target\":")? as usize,
                number(&text, "\"fence\":")?,
            ))
        };
        match path.as_str() {
            "/-/grant" => {
                let (first, last, fence) = range()?;
                let hold = ms(number(&text, "\"hold_ms\":")?);
                let mut state = self.state.lock().unwrap();
                let refused = state.fences[first..=last].iter().any(|seen| *seen > fence);
                let word = if refused { "refuses" } else { "takes" };
                self.record.line(&format!(
                    "server {} {word} {first} to {last}, fence {fence}, for {hold:?}",
                    self.id
                ));
                if refused {
                    return Some(response(409, &[], ""));
                }
                state.fences[first..=last].fill(fence);
                cut_out(&mut state.leases, first, last);
                state.leases.push(Lease { first, last, until: Instant::now() + hold });
                Some(response(200, &[], ""))
            }
            "/-/release" => {
                let (first, last, fence) = range()?;
                self.record
                    .line(&format!("server {} releases {first} to {last}, fence {fence}", self.id));
                let mut state = self.state.lock().unwrap();
                cut_out(&mut state.leases, first, last);
                while state.running.iter().any(|key| first <= *key && *key <= last) {
                    state = self.freed.wait(state).unwrap();
                }
                Some(response(200, &[("Handover", "5c0e7a21d94b36f8".into())], ""))
            }
            "/health" => Some(response(200, &[("Instance-Id", self.id.clone())], "")),
            _ if id.is_empty() => Some(response(400, &[("Not-Executed", "1".into())], "")),
            _ => {
                let key: usize = request.header("shard-key")?.parse().ok()?;
                let not_run =
                    |status| Some(response(status, &echo(&[("Not-Executed", "1".into())]), ""));
                if !self.holds(key) {
                    return not_run(421);
                }
                let mut state = self.state.lock().unwrap();
                if state.running.len() >= SLOTS && state.queued >= MAX_QUEUED {
                    return not_run(503);
                }
                state.queued += 1;
                while state.running.len() >= SLOTS {
                    state = self.freed.wait(state).unwrap();
                }
                state.queued -= 1;
                state.running.push(key);
                drop(state);
                self.record.line(&format!("server {} runs {id}, key {key}", self.id));
                sleep(RUN_TIME);
                let mut state = self.state.lock().unwrap();
                let place = state.running.iter().position(|it| *it == key)?;
                state.running.swap_remove(place);
                drop(state);
                self.freed.notify_all();
                let body = format!("{id} by {}", self.id);
                let seal = format!("{id}.{}", body.len());
                Some(response(200, &echo(&[("Response-Seal", seal)]), &body))
            }
        }
    }
}

/// Takes keys out of leases.
fn cut_out(leases: &mut Vec<Lease>, first: usize, last: usize) {
    let now = Instant::now();
    let mut rest = Vec::new();
    for lease in leases.drain(..).filter(|it| it.until > now) {
        if lease.first < first {
            rest.push(Lease { last: lease.last.min(first - 1), ..lease.clone() });
        }
        if lease.last > last {
            rest.push(Lease { first: lease.first.max(last + 1), ..lease });
        }
    }
    *leases = rest;
}

// ---------------------------------------------------------------- the deployment

/// Processes that run, to be ended if a case fails unexpectedly.
static RUNNING: Mutex<Vec<u32>> = Mutex::new(Vec::new());

struct Nodes {
    temp: PathBuf,
    settings: Vec<PathBuf>,
    logs: Vec<PathBuf>,
    running: Vec<Option<Child>>,
}

impl Nodes {
    fn start(&mut self, index: usize) {
        let log = fs::File::options().create(true).append(true).open(&self.logs[index]).unwrap();
        let child = Command::new("target/node/whinspring-node")
            .arg("--config")
            .arg(&self.settings[index])
            .env("WHINSPRING_BOOT", &self.settings[index])
            .stdin(Stdio::null())
            .stderr(log.try_clone().unwrap())
            .stdout(log)
            .spawn()
            .expect("whinspring-node starts");
        RUNNING.lock().unwrap().push(child.id());
        self.running[index] = Some(child);
    }

    fn kill(&mut self, index: usize) {
        if let Some(mut child) = self.running[index].take() {
            let _ = child.kill();
            RUNNING.lock().unwrap().retain(|id| *id != child.id());
            let _ = child.wait();
        }
    }
}

impl Drop for Nodes {
    fn drop(&mut self) {
        (0..self.running.len()).for_each(|index| self.kill(index));
        let _ = fs::remove_dir_all(&self.temp);
    }
}

/// Fills in the template of the settings as the platform does.
fn render(values: &[(&str, String)]) -> String {
    let template = fs::read_to_string("deploy/node.ini").expect("run in the repository's root");
    let mut text = String::new();
    let mut skipped = false;
    for line in template.lines() {
        if line.starts_with("{{#") {
            skipped = true;
        } else if line.starts_with("{{/") {
            skipped = false;
        } else if !skipped {
            text += line;
            text += "\n";
        }
    }
    for (name, value) in values {
        text = text.replace(&format!("{{{{{name}}}}}"), value);
    }
    assert!(!text.contains("{{"), "a placeholder is left: {text}");
    text
}

struct World {
    record: Arc<Record>,
    store: Arc<Store>,
    nodes: Mutex<Nodes>,
    servers: Vec<Arc<Server>>,
    /// Paths to the servers.
    ports: Vec<Arc<Port>>,
}

const ZONES: usize = 3;

impl World {
    /// Starts the deployment; the servers from the `early`th on join `later`.
    fn build(
        out: &PathBuf,
        nodes: usize,
        servers: usize,
        early: usize,
        later: Duration,
    ) -> Arc<Self> {
        let file = Mutex::new(fs::File::create(out.join("record.txt")).unwrap());
        let record = Arc::new(Record { start: Instant::now(), file });
        let temp = env::temp_dir().join(format!("review-3-{}", std::process::id()));
        fs::create_dir_all(&temp).unwrap();
        let store = Store::new();
        // A loopback subnet of its own, in which the ports of the template are free.
        let seed = SystemTime::now().duration_since(UNIX_EPOCH).unwrap().subsec_nanos() as usize;
        let (subnet, store_addr) = (0..100)
            .find_map(|step| {
                let subnet = 20 + (seed / 1_000 + step * 7) % 200;
                let addr: SocketAddr = format!("127.{subnet}.0.1:8169").parse().unwrap();
                let handler = store.clone();
                serve(addr, Arc::new(move |request| handler.handle(request))).ok()?;
                Some((subnet, addr))
            })
            .expect("a free subnet");
        store.keep_copies();
        let mut all = Nodes {
            temp: temp.clone(),
            settings: Vec::new(),
            logs: Vec::new(),
            running: Vec::new(),
        };
        for index in 0..nodes {
            let ip = format!("127.{subnet}.1.{}", index + 1);
            let values = [
                ("NodeName", format!("edge-{index}")),
                ("Zone", format!("z{}", index % ZONES)),
                ("Listen.Front", format!("{ip}:8161")),
                ("Listen.Ready", format!("{ip}:8167")),
                ("Ip", ip.clone()),
                ("InternalPorts.0", "7720".into()),
                ("InternalPorts.1", "7735".into()),
                ("Platform.Address", store_addr.to_string()),
                ("Bounds.GraceS", "6".into()),
                ("Bounds.DrainS", "2000".into()),
                ("Bounds.HoldMaxS", "10000".into()),
                ("Bounds.RetryBudgetRatio", "0.2".into()),
                ("Bounds.BudgetExtra", "58".into()),
                ("Limits.CpuShare", "0.2".into()),
            ];
            let file = temp.join(format!("edge-{index}.toml"));
            fs::write(&file, render(&values)).unwrap();
            all.settings.push(file);
            all.logs.push(temp.join(format!("edge-{index}.log")));
            all.running.push(None);
        }
        let (mut backends, mut ports) = (Vec::new(), Vec::new());
        for index in 0..servers {
            let id = format!("i-{index:04x}");
            let state = ServerState {
                leases: Vec::new(),
                fences: vec![0; KEYS],
                running: Vec::new(),
                queued: 0,
            };
            let server = Arc::new(Server {
                id: id.clone(),
                state: Mutex::new(state),
                freed: Condvar::new(),
                record: record.clone(),
            });
            let addr: SocketAddr = format!("127.{subnet}.2.{}:8080", index + 1).parse().unwrap();
            let handler = server.clone();
            let port = Arc::new(Port { cut: AtomicBool::new(false) });
            serve_behind(port.clone(), addr, Arc::new(move |request| handler.handle(request)));
            ports.push(port);
            let born = SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis();
            let entry = format!(
                r#"{{"Address":"{addr}","born":{born},"Info":{{"Service":"checks","Zone":"z{}","Version":"v1","Slots":{SLOTS}}},"Status":{{"State":"ready","Sequence":1,"ColdLeftS":0}}}}"#,
                index % ZONES
            );
            let store = store.clone();
            backends.push(server);
            spawn(move || {
                if index >= early {
                    sleep(later);
                }
                loop {
                    if !store.is_away() && !store.touch("servers", &id) {
                        let _ = store.write("servers", &id, None, &entry);
                    }
                    sleep(HEARTBEAT);
                }
            });
        }
        let world =
            Arc::new(Self { record, store, nodes: Mutex::new(all), servers: backends, ports });
        world.write_config();
        world.start_all();
        world
    }

    /// What the operator writes, and writes again after a drill.
    fn write_config(&self) {
        let route = |name: &str, kind: &str, priority: u8| {
            format!(
                r#"{{"Name":"{name}","Host":"ficu95.example","PathPrefix":"/{name}/","Kind":"{kind}","timeout_ms":2500,"target_ms":500,"Priority":{priority},"Service":"checks","MaxAttempts":2}}"#
            )
        };
        let config = format!(
            r#"{{"Version":7,"Routes":[{},{}],"Services":[{{"Name":"checks","HealthPath":"/health","MaxConns":110,"Protocol":"h1","Tls":false,"Sharded":true,"WarmS":3.0}}],"Limits":{{"MaxHeaderBytes":16384,"MaxBodyBytes":1000000,"HeaderTimeoutS":3000,"IdleTimeoutS":15000}}}}"#,
            route("look", "safe", 2),
            route("lodge", "unsafe", 1)
        );
        let _ = self.store.write("config", "main", None, &config);
    }

    fn start_all(&self) {
        let mut nodes = self.nodes.lock().unwrap();
        (0..nodes.running.len()).for_each(|index| nodes.start(index));
    }

    fn kill_all(&self) {
        let mut nodes = self.nodes.lock().unwrap();
        (0..nodes.running.len()).for_each(|index| nodes.kill(index));
    }

    /// Ends all processes and removes the temporary folder.
    fn end(&self) {
        self.kill_all();
        let _ = fs::remove_dir_all(&self.nodes.lock().unwrap().temp);
    }
}

/// Looks every 20 ms at one key of each 256: returns how many of them two servers have held for over half
/// a second, and the longest time.
fn watch_owners(world: &Arc<World>, end: Instant) -> (usize, Duration) {
    let sample: Vec<usize> = (0..KEYS).step_by(256).collect();
    let mut since: BTreeMap<usize, (Instant, Vec<String>)> = BTreeMap::new();
    let mut broken: BTreeMap<usize, Duration> = BTreeMap::new();
    while Instant::now() < end {
        for key in &sample {
            let holders: Vec<String> =
                world.servers.iter().filter(|it| it.holds(*key)).map(|it| it.id.clone()).collect();
            if holders.len() < 2 {
                since.remove(key);
                continue;
            }
            let entry = since.entry(*key).or_insert_with(|| (Instant::now(), holders.clone()));
            if entry.1 != holders {
                *entry = (Instant::now(), holders);
                continue;
            }
            let time = entry.0.elapsed();
            if time > HALF_SECOND {
                if !broken.contains_key(key) {
                    world.record.line(&format!(
                        "BROKEN OWNER: key {key} is held by {}",
                        entry.1.join(" and ")
                    ));
                }
                broken.insert(*key, time);
            }
        }
        sleep(ms(20));
    }
    (broken.len(), broken.values().max().copied().unwrap_or_default())
}

/// Two servers of twelve are cut off from all machines for a moment, three times; their channels are reset.
fn cut_servers(out: &PathBuf, trouble: bool) -> i32 {
    let world = World::build(out, 6, 12, 12, Duration::ZERO);
    let watcher = {
        let (world, end) = (world.clone(), Instant::now() + Duration::from_secs(32));
        spawn(move || watch_owners(&world, end))
    };
    sleep(ms(8_000));
    let is_held = |key: &usize| world.servers.iter().any(|it| it.holds(*key));
    let held = (0..KEYS).step_by(256).filter(is_held).count();
    world.record.line(&format!("{held} of 256 keys are held"));
    for round in 0..3 {
        let cut = [round * 2, round * 2 + 1];
        let names: Vec<&str> = cut.iter().map(|it| world.servers[*it].id.as_str()).collect();
        if trouble {
            world.record.line(&format!("{} are cut off from all machines", names.join(" and ")));
            cut.iter().for_each(|it| world.ports[*it].cut.store(true, SeqCst));
        }
        sleep(ms(1_600));
        cut.iter().for_each(|it| world.ports[*it].cut.store(false, SeqCst));
        world.record.line(&format!("{} are reached again", names.join(" and ")));
        sleep(ms(6_400));
    }
    let (keys, longest) = watcher.join().unwrap();
    world.end();
    let text = format!(
        "{keys} of 256 keys had two holders for over half a second, the longest {longest:?}"
    );
    world.record.line(&text);
    println!("{text}");
    if held < 128 {
        return 2;
    }
    i32::from(keys > 0)
}

/// The store comes back from a copy that is older than the first election, while all processes are down.
fn empty_copy(out: &PathBuf, trouble: bool) -> i32 {
    let world = World::build(out, 6, 12, 6, ms(2_500));
    let start = Instant::now();
    let watcher = {
        let world = world.clone();
        spawn(move || watch_owners(&world, start + Duration::from_secs(16)))
    };
    sleep(ms(6_000));
    let held =
        (0..KEYS).step_by(256).filter(|key| world.servers.iter().any(|it| it.holds(*key))).count();
    world.record.line(&format!("{held} of 256 keys are held"));
    if trouble {
        world.record.line("the store is away");
        world.store.set_away(true);
        sleep(ms(300));
        world.record.line("all processes of the system are killed");
        world.kill_all();
        sleep(ms(400));
        let age = start.elapsed() - ms(400);
        world.store.restore(age);
        world.store.set_away(false);
        world.record.line(&format!(
            "the store is back from a copy that was {:.1} s old, in the next era",
            age.as_secs_f64()
        ));
        world.write_config();
        world.start_all();
        world.record.line("the operator has written the config again; all processes run again");
    }
    let (keys, longest) = watcher.join().unwrap();
    world.end();
    let text = format!(
        "{keys} of 256 keys had two holders for over half a second, the longest {longest:?}"
    );
    world.record.line(&text);
    println!("{text}");
    if held < 128 {
        return 2;
    }
    i32::from(keys > 0)
}

fn main() {
    let args: Vec<String> = env::args().collect();
    let trouble = env::var("TROUBLE").map_or(true, |value| value != "0");
    let (Some(case), Some(out)) = (args.get(1), args.get(2)) else { exit(2) };
    let out = PathBuf::from(out);
    let case = case.clone();
    let run = spawn(move || match case.as_str() {
        "cut-servers" => cut_servers(&out, trouble),
        "empty-copy" => empty_copy(&out, trouble),
        _ => 2,
    });
    // A case that cannot run leaves no process behind.
    let code = run.join().unwrap_or(2);
    for id in RUNNING.lock().unwrap().iter() {
        let _ = Command::new("kill").arg("-9").arg(id.to_string()).status();
    }
    exit(code);
}
