//! Stand-ins of the second review: an object store, backend servers and callers, and the router's
//! nodes as processes. The standard library only.

#![allow(dead_code)]

use std::{
    collections::BTreeMap,
    env, fs,
    io::{self, BufRead, BufReader, Read, Write},
    net::{Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::{
        Arc, Condvar, Mutex, OnceLock,
        atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering},
    },
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

// ---------------------------------------------------------------------------------------- record

struct Record {
    start: Instant,
    file: Mutex<fs::File>,
}

static RECORD: OnceLock<Record> = OnceLock::new();

/// Opens the record of a case and starts its clock.
pub fn open_record(path: &Path) {
    let file = Mutex::new(fs::File::create(path).expect("the record can be written"));
    let _ = RECORD.set(Record { start: Instant::now(), file });
    let usual = std::panic::take_hook();
    std::panic::set_hook(Box::new(move |info| {
        usual(info);
        finish(2);
    }));
}

/// Milliseconds since the start of the case.
pub fn now_ms() -> u64 {
    RECORD.get().map_or(0, |record| record.start.elapsed().as_millis() as u64)
}

/// Writes a line to the record.
pub fn note(text: impl AsRef<str>) {
    let Some(record) = RECORD.get() else { return };
    let line = format!("{:>7} {}\n", now_ms(), text.as_ref());
    let _ = record.file.lock().unwrap().write_all(line.as_bytes());
}

pub fn say(text: impl AsRef<str>) {
    note(text.as_ref());
    println!("{}", text.as_ref());
}

pub fn sleep_ms(ms: u64) {
    thread::sleep(Duration::from_millis(ms));
}

// ------------------------------------------------------------------------------------------ JSON

#[derive(Debug, Clone, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    /// A number as it is written.
    Num(String),
    Str(String),
    Arr(Vec<Json>),
    Obj(Vec<(String, Json)>),
}

impl Json {
    pub fn num(value: u64) -> Json {
        Json::Num(value.to_string())
    }

    pub fn str(text: impl Into<String>) -> Json {
        Json::Str(text.into())
    }

    pub fn obj<const N: usize>(fields: [(&str, Json); N]) -> Json {
        Json::Obj(fields.into_iter().map(|(name, value)| (name.to_string(), value)).collect())
    }

    pub fn get(&self, name: &str) -> Option<&Json> {
        match self {
            Json::Obj(fields) => fields.iter().find(|(key, _)| key == name).map(|(_, value)| value),
            _ => None,
        }
    }

    pub fn set(&mut self, name: &str, value: Json) {
        let Json::Obj(fields) = self else { return };
        match fields.iter_mut().find(|(key, _)| key == name) {
            Some(field) => field.1 = value,
            None => fields.push((name.into(), value)),
        }
    }

    pub fn remove(&mut self, name: &str) {
        if let Json::Obj(fields) = self {
            fields.retain(|(key, _)| key != name);
        }
    }

    pub fn as_u64(&self) -> Option<u64> {
        match self {
            Json::Num(text) => text.parse().ok(),
            _ => None,
        }
    }

    pub fn as_str(&self) -> Option<&str> {
        match self {
            Json::Str(text) => Some(text),
            _ => None,
        }
    }

    pub fn text(&self) -> String {
        let mut out = String::new();
        self.write(&mut out);
        out
    }

    fn write(&self, out: &mut String) {
        match self {
            Json::Null => out.push_str("null"),
            Json::Bool(value) => out.push_str(if *value { "true" } else { "false" }),
            Json::Num(text) => out.push_str(text),
            Json::Str(text) => write_str(text, out),
            Json::Arr(items) => {
                out.push('[');
                for (index, item) in items.iter().enumerate() {
                    if index > 0 {
                        out.push(',');
                    }
                    item.write(out);
                }
                out.push(']');
            }
            Json::Obj(fields) => {
                out.push('{');
                for (index, (name, value)) in fields.iter().enumerate() {
                    if index > 0 {
                        out.push(',');
                    }
                    write_str(name, out);
                    out.push(':');
                    value.write(out);
                }
                out.push('}');
            }
        }
    }

    pub fn parse(text: &str) -> Option<Json> {
        let mut parser = Parser { text: text.as_bytes(), at: 0 };
        let value = parser.value()?;
        parser.space();
        (parser.at == parser.text.len()).then_some(value)
    }
}

fn write_str(text: &str, out: &mut String) {
    out.push('"');
    for c in text.chars() {
        match c {
            '"' => out.push_str("\\\""),
            '\\' => out.push_str("\\\\"),
            c if (c as u32) < 0x20 => out.push_str(&format!("\\u{:04x}", c as u32)),
            c => out.push(c),
        }
    }
    out.push('"');
}

struct Parser<'a> {
    text: &'a [u8],
    at: usize,
}

impl Parser<'_> {
    fn space(&mut self) {
        while self.text.get(self.at).is_some_and(|byte| byte.is_ascii_whitespace()) {
            self.at += 1;
        }
    }

    fn take(&mut self, byte: u8) -> Option<()> {
        self.space();
        (self.text.get(self.at) == Some(&byte)).then(|| self.at += 1)
    }

    fn word(&mut self, word: &str) -> Option<()> {
        let end = self.at + word.len();
        (self.text.get(self.at..end) == Some(word.as_bytes())).then(|| self.at = end)
    }

    fn value(&mut self) -> Option<Json> {
        self.space();
        match self.text.get(self.at)? {
            b'n' => self.word("null").map(|()| Json::Null),
            b't' => self.word("true").map(|()| Json::Bool(true)),
            b'f' => self.word("false").map(|()| Json::Bool(false)),
            b'"' => self.string().map(Json::Str),
            b'[' => {
                self.at += 1;
                let mut items = Vec::new();
                if self.take(b']').is_some() {
                    return Some(Json::Arr(items));
                }
                loop {
                    items.push(self.value()?);
                    if self.take(b',').is_none() {
                        self.take(b']')?;
                        return Some(Json::Arr(items));
                    }
                }
            }
            b'{' => {
                self.at += 1;
                let mut fields = Vec::new();
                if self.take(b'}').is_some() {
                    return Some(Json::Obj(fields));
                }
                loop {
                    self.space();
                    let name = self.string()?;
                    self.take(b':')?;
                    fields.push((name, self.value()?));
                    if self.take(b',').is_none() {
                        self.take(b'}')?;
                        return Some(Json::Obj(fields));
                    }
                }
            }
            _ => {
                let start = self.at;
                while self.text.get(self.at).is_some_and(|b| b"+-.eE0123456789".contains(b)) {
                    self.at += 1;
                }
                let number = std::str::from_utf8(&self.text[start..self.at]).ok()?;
                (!number.is_empty()).then(|| Json::Num(number.into()))
            }
        }
    }

    fn string(&mut self) -> Option<String> {
        self.take(b'"')?;
        let mut out = Vec::new();
        loop {
            let byte = *self.text.get(self.at)?;
            self.at += 1;
            match byte {
                b'"' => return String::from_utf8(out).ok(),
                b'\\' => {
                    let escape = *self.text.get(self.at)?;
                    self.at += 1;
                    match escape {
                        b'n' => out.push(b'\n'),
                        b't' => out.push(b'\t'),
                        b'r' => out.push(b'\r'),
                        b'b' => out.push(8),
                        b'f' => out.push(12),
                        b'u' => {
                            let hex = self.text.get(self.at..self.at + 4)?;
                            self.at += 4;
                            let code = u32::from_str_radix(std::str::from_utf8(hex).ok()?, 16);
                            let c = char::from_u32(code.ok()?).unwrap_or('?');
                            out.extend(c.to_string().as_bytes());
                        }
                        other => out.push(other),
                    }
                }
                byte => out.push(byte),
            }
        }
    }
}

// ------------------------------------------------------------------------------------------ HTTP

/// A request or a response.
#[derive(Debug, Clone, Default)]
pub struct Message {
    /// First line.
    pub line: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(key, _)| key.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    pub fn word(&self, index: usize) -> &str {
        self.line.split(' ').nth(index).unwrap_or_default()
    }

    /// Status of a response.
    pub fn status(&self) -> u16 {
        self.word(1).parse().unwrap_or(0)
    }
}

/// Reads a message. A response without a length ends with its connection.
pub fn read_message(reader: &mut impl BufRead, is_response: bool) -> io::Result<Option<Message>> {
    let mut message = Message::default();
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Ok(None);
    }
    message.line = line.trim_end().to_string();
    loop {
        line.clear();
        if reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let text = line.trim_end();
        if text.is_empty() {
            break;
        }
        let (name, value) = text.split_once(':').unwrap_or((text, ""));
        message.headers.push((name.trim().to_string(), value.trim().to_string()));
    }
    let length = message.header("content-length").and_then(|text| text.parse::<usize>().ok());
    if message.header("transfer-encoding").is_some_and(|text| text.contains("chunked")) {
        loop {
            line.clear();
            if reader.read_line(&mut line)? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
            let size = usize::from_str_radix(line.trim().split(';').next().unwrap_or(""), 16)
                .map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
            let mut chunk = vec![0; size + 2];
            reader.read_exact(&mut chunk)?;
            message.body.extend_from_slice(&chunk[..size]);
            if size == 0 {
                break;
            }
        }
    } else if let Some(length) = length {
        message.body = vec![0; length];
        reader.read_exact(&mut message.body)?;
    } else if is_response && message.status() != 204 {
        reader.read_to_end(&mut message.body)?;
    }
    Ok(Some(message))
}

/// Builds a response with a length.
pub fn response(status: &str, headers: &[(&str, String)], body: &[u8]) -> Vec<u8> {
    let mut text = format!("HTTP/1.1 {status}\r\nContent-Length: {}\r\n", body.len());
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str("\r\n");
    [text.as_bytes(), body].concat()
}

/// A listener whose connections are served by a thread each, until it is closed.
pub struct Listening {
    pub addr: SocketAddr,
    closed: Arc<AtomicBool>,
    open: Arc<Mutex<Vec<TcpStream>>>,
}

impl Listening {
    pub fn start(
        addr: SocketAddr,
        handler: impl Fn(TcpStream) + Send + Sync + 'static,
    ) -> Arc<Listening> {
        let mut bound = TcpListener::bind(addr);
        for _ in 0..100 {
            if bound.is_ok() {
                break;
            }
            sleep_ms(20);
            bound = TcpListener::bind(addr);
        }
        let listener = bound.unwrap_or_else(|error| cannot_run(&format!("{addr}: {error}")));
        listener.set_nonblocking(true).expect("a listener can be non-blocking");
        let closed = Arc::new(AtomicBool::new(false));
        let open: Arc<Mutex<Vec<TcpStream>>> = Arc::default();
        let listening = Arc::new(Listening { addr, closed: closed.clone(), open: open.clone() });
        let handler = Arc::new(handler);
        thread::spawn(move || {
            while !closed.load(Ordering::SeqCst) {
                let Ok((stream, _)) = listener.accept() else {
                    sleep_ms(1);
                    continue;
                };
                let _ = stream.set_nonblocking(false);
                let _ = stream.set_nodelay(true);
                if let Ok(copy) = stream.try_clone() {
                    let mut open = open.lock().unwrap();
                    open.retain(|stream| stream.peer_addr().is_ok());
                    open.push(copy);
                }
                let handler = handler.clone();
                thread::spawn(move || handler(stream));
            }
        });
        listening
    }

    /// Closes the listener and all connections.
    pub fn close(&self) {
        self.closed.store(true, Ordering::SeqCst);
        sleep_ms(5);
        for stream in self.open.lock().unwrap().drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }
}

/// A proxy that can be cut: it then refuses channels, and those that are open are closed.
pub struct Proxy {
    listen: SocketAddr,
    target: SocketAddr,
    /// If set, only channels whose first bytes contain this are cut.
    only: Option<String>,
    cut: Arc<AtomicBool>,
    listening: Mutex<Option<Arc<Listening>>>,
    marked: Arc<Mutex<Vec<TcpStream>>>,
}

impl Proxy {
    pub fn start(listen: SocketAddr, target: SocketAddr, only: Option<&str>) -> Arc<Proxy> {
        let proxy = Arc::new(Proxy {
            listen,
            target,
            only: only.map(str::to_string),
            cut: Arc::default(),
            listening: Mutex::new(None),
            marked: Arc::default(),
        });
        proxy.listen();
        proxy
    }

    fn listen(&self) {
        let (target, only) = (self.target, self.only.clone());
        let (cut, marked) = (self.cut.clone(), self.marked.clone());
        let handler = move |mut stream: TcpStream| {
            let mut first = vec![0; 4_096];
            let length = match &only {
                None => 0,
                Some(_) => stream.read(&mut first).unwrap_or(0),
            };
            if let Some(only) = &only
                && String::from_utf8_lossy(&first[..length]).contains(only.as_str())
            {
                if cut.load(Ordering::SeqCst) {
                    return;
                }
                marked.lock().unwrap().extend(stream.try_clone());
            }
            let Ok(mut there) = TcpStream::connect(target) else { return };
            let _ = there.set_nodelay(true);
            let (Ok(mut back), Ok(mut from)) = (stream.try_clone(), there.try_clone()) else { return };
            if there.write_all(&first[..length]).is_err() {
                return;
            }
            thread::spawn(move || {
                let _ = io::copy(&mut from, &mut back);
                let _ = back.shutdown(Shutdown::Both);
            });
            let _ = io::copy(&mut stream, &mut there);
            let _ = there.shutdown(Shutdown::Both);
        };
        *self.listening.lock().unwrap() = Some(Listening::start(self.listen, handler));
    }

    pub fn set_cut(&self, cut: bool) {
        self.cut.store(cut, Ordering::SeqCst);
        match (&self.only, cut) {
            (Some(_), true) => {
                for stream in self.marked.lock().unwrap().drain(..) {
                    let _ = stream.shutdown(Shutdown::Both);
                }
            }
            (None, true) => {
                if let Some(listening) = self.listening.lock().unwrap().take() {
                    listening.close();
                }
            }
            (None, false) => self.listen(),
            (Some(_), false) => {}
        }
    }
}

// ----------------------------------------------------------------------------------------- store

#[derive(Clone)]
struct Object {
    revision: u64,
    created: u64,
    spec: Json,
    status: Json,
}

struct Event {
    revision: u64,
    kind: String,
    object: Json,
    deleted: bool,
}

#[derive(Default)]
struct StoreState {
    objects: BTreeMap<(String, String), Object>,
    events: Vec<Event>,
    revision: u64,
}

/// The platform's store: linearizable, one revision counter, watches with a complete history.
pub struct Store {
    state: Mutex<StoreState>,
    changed: Condvar,
    /// Whether calls get no answer, then or later.
    silent: AtomicBool,
    /// Number of silences that have begun.
    silences: AtomicU64,
    /// How often each kind was listed.
    lists: Mutex<BTreeMap<String, usize>>,
}

impl Store {
    pub fn start(addr: SocketAddr) -> Arc<Store> {
        let state = StoreState { revision: 1, ..StoreState::default() };
        let store = Arc::new(Store {
            state: Mutex::new(state),
            changed: Condvar::new(),
            silent: AtomicBool::new(false),
            silences: AtomicU64::new(0),
            lists: Mutex::default(),
        });
        let serving = store.clone();
        Listening::start(addr, move |stream| serving.serve(stream));
        store
    }

    /// Begins or ends a silence. A channel on which a call was made or pending in a silence returns
    /// nothing further; new ones work once it has ended. Nothing is done in it.
    pub fn set_silent(&self, silent: bool) {
        if silent {
            self.silences.fetch_add(1, Ordering::SeqCst);
        }
        self.silent.store(silent, Ordering::SeqCst);
    }

    fn render(name: &str, object: &Object) -> Json {
        let metadata = Json::obj([
            ("Name", Json::str(name)),
            ("Revision", Json::num(object.revision)),
            ("Created", Json::num(object.created)),
            ("Finalizers", Json::Arr(Vec::new())),
            ("Deleting", Json::Bool(false)),
        ]);
        Json::obj([
            ("Metadata", metadata),
            ("Spec", object.spec.clone()),
            ("Status", object.status.clone()),
        ])
    }

    /// Writes an object; `expect` is the revision that it must have, zero for none. `Err` is a
    /// conflict or an absent object.
    fn write(
        &self,
        kind: &str,
        name: &str,
        expect: Option<u64>,
        change: impl FnOnce(&mut Object),
    ) -> Result<Json, u16> {
        let mut state = self.state.lock().unwrap();
        let key = (kind.to_string(), name.to_string());
        let known = state.objects.get(&key).cloned();
        match (expect, &known) {
            (Some(0), Some(_)) => return Err(409),
            (Some(expect), Some(known)) if expect != known.revision => return Err(409),
            (Some(expect), None) if expect != 0 => return Err(404),
            _ => {}
        }
        let before = known.clone().unwrap_or(Object {
            revision: 0,
            created: state.revision + 1,
            spec: Json::Null,
            status: Json::Null,
        });
        let mut after = before.clone();
        change(&mut after);
        if known.is_some() && after.spec == before.spec && after.status == before.status {
            return Ok(Store::render(name, &before));
        }
        state.revision += 1;
        after.revision = state.revision;
        let object = Store::render(name, &after);
        let event = Event {
            revision: after.revision,
            kind: kind.into(),
            object: object.clone(),
            deleted: false,
        };
        state.events.push(event);
        state.objects.insert(key, after);
        self.changed.notify_all();
        Ok(object)
    }

    pub fn put(&self, kind: &str, name: &str, spec: Json) -> u64 {
        let written = self.write(kind, name, None, |object| object.spec = spec);
        revision_of(&written)
    }

    /// Writes spec and status in one change.
    pub fn put_both(&self, kind: &str, name: &str, spec: Json, status: Json) -> u64 {
        let written = self.write(kind, name, None, |object| {
            object.spec = spec;
            object.status = status;
        });
        revision_of(&written)
    }

    pub fn get(&self, kind: &str, name: &str) -> Option<(Json, Json)> {
        let state = self.state.lock().unwrap();
        let object = state.objects.get(&(kind.to_string(), name.to_string()))?;
        Some((object.spec.clone(), object.status.clone()))
    }

    pub fn delete(&self, kind: &str, name: &str) -> bool {
        let mut state = self.state.lock().unwrap();
        let Some(mut object) = state.objects.remove(&(kind.to_string(), name.to_string())) else {
            return false;
        };
        state.revision += 1;
        object.revision = state.revision;
        let event = Event {
            revision: object.revision,
            kind: kind.into(),
            object: Store::render(name, &object),
            deleted: true,
        };
        state.events.push(event);
        self.changed.notify_all();
        true
    }

    /// Serves the store at another address, where some texts in its answers are replaced: the
    /// addresses by which backends are reached from there.
    pub fn view(self: &Arc<Self>, addr: SocketAddr, replaced: Vec<(String, String)>) {
        let store = self.clone();
        Listening::start(addr, move |stream| store.serve_view(stream, &replaced));
    }

    fn serve(&self, stream: TcpStream) {
        self.serve_view(stream, &[]);
    }

    fn serve_view(&self, stream: TcpStream, replaced: &[(String, String)]) {
        let Ok(mut writer) = stream.try_clone() else { return };
        let mut reader = BufReader::new(stream);
        while let Ok(Some(request)) = read_message(&mut reader, false) {
            let silences = self.silences.load(Ordering::SeqCst);
            if self.silent.load(Ordering::SeqCst) {
                return hold(&mut reader);
            }
            let (status, body) = self.answer(&request);
            if self.silences.load(Ordering::SeqCst) != silences {
                return hold(&mut reader);
            }
            let line = match status {
                200 => "200 OK",
                404 => "404 Not Found",
                409 => "409 Conflict",
                _ => "400 Bad Request",
            };
            let headers = [("Content-Type", "application/json".to_string())];
            let mut text = body.text();
            for (from, to) in replaced {
                text = text.replace(from, to);
            }
            if writer.write_all(&response(line, &headers, text.as_bytes())).is_err() {
                return;
            }
        }
    }

    fn answer(&self, request: &Message) -> (u16, Json) {
        let (path, query) = request.word(1).split_once('?').unwrap_or((request.word(1), ""));
        let query: BTreeMap<&str, &str> =
            query.split('&').filter_map(|part| part.split_once('=')).collect();
        let mut parts = path.trim_start_matches("/-/objects/").splitn(2, '/');
        let kind = parts.next().unwrap_or_default();
        let name = parts.next().unwrap_or_default();
        let body = String::from_utf8_lossy(&request.body);
        let body = Json::parse(&body).unwrap_or(Json::Null);
        let metadata = body.get("Metadata");
        let field = |name: &str| metadata.and_then(|metadata| metadata.get(name));
        let expect = field("Revision").and_then(Json::as_u64);
        let spec = body.get("Spec").cloned().unwrap_or(Json::Null);
        match (request.word(0), name) {
            ("GET", "") if query.contains_key("Watch") => {
                let from = query["Watch"].parse().unwrap_or(0);
                let wait = query.get("wait_ms").and_then(|text| text.parse().ok()).unwrap_or(0);
                (200, self.watch(kind, from, wait))
            }
            ("GET", "") => (200, self.list(kind)),
            ("GET", name) => {
                let state = self.state.lock().unwrap();
                match state.objects.get(&(kind.to_string(), name.to_string())) {
                    Some(object) => (200, Store::render(name, object)),
                    None => (404, Json::Null),
                }
            }
            ("POST", "") => {
                let name = field("Name").and_then(Json::as_str).unwrap_or_default().to_string();
                self.reply(kind, &name, Some(0), |object| object.spec = spec)
            }
            ("PUT", name) => match name.strip_suffix("/status") {
                Some(name) => self.reply(kind, name, expect, |object| object.status = spec),
                None => self.reply(kind, name, expect, |object| object.spec = spec),
            },
            ("DELETE", name) => match self.delete(kind, name) {
                true => (200, Json::Null),
                false => (404, Json::Null),
            },
            _ => (400, Json::Null),
        }
    }

    fn reply(
        &self,
        kind: &str,
        name: &str,
        expect: Option<u64>,
        change: impl FnOnce(&mut Object),
    ) -> (u16, Json) {
        match self.write(kind, name, expect, change) {
            Ok(object) => (200, object),
            Err(status) => {
                let state = self.state.lock().unwrap();
                let known = state.objects.get(&(kind.to_string(), name.to_string()));
                (status, known.map_or(Json::Null, |object| Store::render(name, object)))
            }
        }
    }

    /// Returns how often a kind was listed.
    pub fn list_count(&self, kind: &str) -> usize {
        self.lists.lock().unwrap().get(kind).copied().unwrap_or(0)
    }

    fn list(&self, kind: &str) -> Json {
        *self.lists.lock().unwrap().entry(kind.to_string()).or_default() += 1;
        let state = self.state.lock().unwrap();
        let items = state.objects.iter().filter(|((of, _), _)| of == kind);
        let items = items.map(|((_, name), object)| Store::render(name, object)).collect();
        Json::obj([
            ("items", Json::Arr(items)),
            ("HasMore", Json::Bool(false)),
            ("CurrentRev", Json::num(state.revision)),
        ])
    }

    fn watch(&self, kind: &str, from: u64, wait_ms: u64) -> Json {
        let end = Instant::now() + Duration::from_millis(wait_ms);
        let mut state = self.state.lock().unwrap();
        loop {
            let found = state.events.iter().filter(|it| it.revision > from && it.kind == kind);
            let events: Vec<Json> = found
                .map(|event| {
                    Json::obj([
                        ("Object", event.object.clone()),
                        ("Deleted", Json::Bool(event.deleted)),
                    ])
                })
                .collect();
            let left = end.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let revision = Json::num(state.revision);
                return Json::obj([("events", Json::Arr(events)), ("CurrentRev", revision)]);
            }
            state = self.changed.wait_timeout(state, left).unwrap().0;
        }
    }
}

/// Keeps a channel open without an answer until the caller closes it.
fn hold(reader: &mut impl BufRead) {
    let mut byte = [0; 64];
    while matches!(reader.read(&mut byte), Ok(read) if read > 0) {}
}

fn revision_of(written: &Result<Json, u16>) -> u64 {
    let object = written.as_ref().ok();
    let metadata = object.and_then(|object| object.get("Metadata"));
    metadata.and_then(|it| it.get("Revision")).and_then(Json::as_u64).unwrap_or(0)
}

// --------------------------------------------------------------------------------------- backend

/// Time between two entries of a backend in the store.
pub const HEARTBEAT_MS: u64 = 870;

/// A request that a backend began to run.
#[derive(Debug, Clone)]
pub struct Run {
    pub at_ms: u64,
    pub server: String,
    pub service: String,
    pub id: String,
    pub path: String,
    /// Address of the caller's end of the connection.
    pub from: SocketAddr,
    pub key: Option<u16>,
    pub finished: bool,
}

pub type Runs = Arc<Mutex<Vec<Run>>>;

#[derive(Clone)]
pub struct BackendOptions {
    /// Address that the entry names, if it is another one than that of the listener.
    pub public: Option<SocketAddr>,
    pub id: String,
    pub service: String,
    pub zone: String,
    pub addr: SocketAddr,
    pub work_ms: u64,
    /// A request whose path contains this crashes the backend that begins to run it.
    pub crash_on: Option<String>,
    /// Whether the service is divided by key.
    pub keyed: bool,
}

/// What a backend knows of one key.
#[derive(Clone, Copy, Default)]
pub struct KeyState {
    /// Highest fence number seen.
    pub seen: u64,
    /// Fence number of the hold.
    pub fence: u64,
    /// When the hold ends, in milliseconds of the record; zero if there is none.
    pub until_ms: u64,
    /// Requests at work on the key.
    pub running: u32,
}

/// One lifetime of a backend.
pub struct Backend {
    pub options: BackendOptions,
    pub born: u64,
    store: Arc<Store>,
    runs: Runs,
    listening: OnceLock<Arc<Listening>>,
    running: AtomicUsize,
    waiting: AtomicUsize,
    slots: (Mutex<usize>, Condvar),
    pub draining: AtomicBool,
    pub ended: AtomicBool,
    /// Whether the backend does not reach the store.
    pub cut: AtomicBool,
    sequence: AtomicU64,
    /// Held while the entry is written.
    writing: Mutex<()>,
    /// Empty if the service has no keys.
    keys: Mutex<Vec<KeyState>>,
    idle: Condvar,
}

const SLOTS: usize = 2;
const QUEUE: usize = 8;

impl Backend {
    pub fn start(options: BackendOptions, store: &Arc<Store>, runs: &Runs) -> Arc<Backend> {
        let backend = Arc::new(Backend {
            born: unix_ms(),
            store: store.clone(),
            runs: runs.clone(),
            listening: OnceLock::new(),
            running: AtomicUsize::new(0),
            waiting: AtomicUsize::new(0),
            slots: (Mutex::new(SLOTS), Condvar::new()),
            draining: AtomicBool::new(false),
            ended: AtomicBool::new(false),
            cut: AtomicBool::new(false),
            sequence: AtomicU64::new(0),
            writing: Mutex::new(()),
            keys: Mutex::new(match options.keyed {
                true => vec![KeyState::default(); 65_536],
                false => Vec::new(),
            }),
            idle: Condvar::new(),
            options,
        });
        let serving = backend.clone();
        let listening =
            Listening::start(backend.options.addr, move |stream| serving.clone().serve(stream));
        let _ = backend.listening.set(listening);
        let beating = backend.clone();
        thread::spawn(move || {
            while !beating.ended.load(Ordering::SeqCst) {
                beating.write_entry();
                sleep_ms(HEARTBEAT_MS);
            }
        });
        backend
    }

    /// The parts of the entry, as the pages describe it: `born` at the top level.
    pub fn entry(&self) -> (Json, Json) {
        let state = if self.draining.load(Ordering::SeqCst) { "draining" } else { "ready" };
        let spec = Json::obj([
            ("born", Json::num(self.born)),
            ("Service", Json::str(&self.options.service)),
            ("Address", Json::str(self.options.public.unwrap_or(self.options.addr).to_string())),
            ("Zone", Json::str(&self.options.zone)),
            ("Version", Json::str("v1")),
            ("Slots", Json::num(SLOTS as u64)),
            ("State", Json::str(state)),
            ("ColdLeftS", Json::num(0)),
            ("Sequence", Json::num(self.sequence.load(Ordering::SeqCst))),
        ]);
        (spec, Json::Null)
    }

    /// Writes the entry; returns when the store has accepted it.
    pub fn write_entry(&self) {
        let _writing = self.writing.lock().unwrap();
        if self.ended.load(Ordering::SeqCst) || self.cut.load(Ordering::SeqCst) {
            return;
        }
        self.sequence.fetch_add(1, Ordering::SeqCst);
        let (spec, status) = self.entry();
        self.store.put_both("servers", &self.options.id, spec, status);
    }

    /// Requests at work.
    pub fn running(&self) -> usize {
        self.running.load(Ordering::SeqCst)
    }

    /// Waits until the backend has written its next entry.
    pub fn until_beat(&self) {
        let before = self.sequence.load(Ordering::SeqCst);
        while self.sequence.load(Ordering::SeqCst) == before {
            sleep_ms(2);
        }
    }

    /// Reports that the backend leaves; returns when the store has accepted that.
    pub fn drain(&self) {
        self.draining.store(true, Ordering::SeqCst);
        self.write_entry();
        note(format!("backend {} is draining; the store has accepted it", self.options.id));
    }

    /// Ends the process at once; the entry stays until `lapse`.
    pub fn crash(&self) {
        if self.ended.swap(true, Ordering::SeqCst) {
            return;
        }
        if let Some(listening) = self.listening.get() {
            listening.close();
        }
    }

    /// Ends the process and removes the entry.
    pub fn leave(&self) {
        self.crash();
        let _writing = self.writing.lock().unwrap();
        self.store.delete("servers", &self.options.id);
    }

    /// Whether the backend is up and holds a key.
    pub fn holds(&self, key: usize) -> bool {
        !self.ended.load(Ordering::SeqCst) && self.keys.lock().unwrap()[key].until_ms > now_ms()
    }

    pub fn key_state(&self, key: usize) -> KeyState {
        self.keys.lock().unwrap()[key]
    }

    /// Carries out a grant or a release.
    fn command(&self, request: &Message) -> Vec<u8> {
        let body = Json::parse(&String::from_utf8_lossy(&request.body)).unwrap_or(Json::Null);
        let number = |name: &str| body.get(name).and_then(Json::as_u64);
        let (Some(from), Some(target), Some(fence)) =
            (number("From"), number("Target"), number("fence"))
        else {
            return response("400 Bad Request", &[], b"");
        };
        let range = from as usize..=(target as usize).min(65_535);
        let is_grant = request.word(1) == "/-/grant";
        let now = now_ms();
        let mut keys = self.keys.lock().unwrap();
        if keys.is_empty() {
            return response("400 Bad Request", &[], b"");
        }
        if is_grant {
            if keys[range.clone()].iter().any(|key| key.seen > fence) {
                return response("409 Conflict", &[], b"");
            }
            let hold = number("hold_ms").unwrap_or(0).min(10_000);
            for key in &mut keys[range] {
                // A hold of the same fence number is renewed; its end never comes sooner.
                let until = if key.fence == fence { key.until_ms.max(now + hold) } else { now + hold };
                *key = KeyState { seen: fence, fence, until_ms: until, ..*key };
            }
            note(format!("grant {from}..{target} fence {fence} hold {hold} to {}", self.options.id));
            return response("200 OK", &[], b"");
        }
        for key in &mut keys[range.clone()] {
            key.seen = key.seen.max(fence);
            if key.fence <= fence {
                key.until_ms = 0;
            }
        }
        note(format!("release {from}..{target} fence {fence} by {}", self.options.id));
        let end = Instant::now() + Duration::from_secs(10);
        while keys[range.clone()].iter().any(|key| key.running > 0) && Instant::now() < end {
            keys = self.idle.wait_timeout(keys, Duration::from_millis(50)).unwrap().0;
        }
        response("200 OK", &[("Handover", format!("{fence:x}"))], b"")
    }

    fn serve(self: Arc<Self>, stream: TcpStream) {
        let Ok(from) = stream.peer_addr() else { return };
        let Ok(mut writer) = stream.try_clone() else { return };
        let mut reader = BufReader::new(stream);
        while let Ok(Some(request)) = read_message(&mut reader, false) {
            if self.ended.load(Ordering::SeqCst) {
                return;
            }
            let Some(answer) = self.answer(&request, from) else { return };
            if self.ended.load(Ordering::SeqCst) || writer.write_all(&answer).is_err() {
                return;
            }
        }
    }

    fn answer(self: &Arc<Self>, request: &Message, from: SocketAddr) -> Option<Vec<u8>> {
        let id = request.header("request-id").unwrap_or_default().to_string();
        let load = format!(
            "{},{},{SLOTS}",
            self.running.load(Ordering::SeqCst),
            self.waiting.load(Ordering::SeqCst)
        );
        let base = [
            ("Request-Id", id.clone()),
            ("Server-Load", load),
            ("Instance-Id", self.options.id.clone()),
        ];
        let is_draining = self.draining.load(Ordering::SeqCst);
        let mut base = base.to_vec();
        if is_draining {
            base.push(("Server-Leaving", "1".to_string()));
        }
        if request.word(1) == "/health" {
            let line = if is_draining { "503 Service Unavailable" } else { "200 OK" };
            return Some(response(line, &base[1..], b""));
        }
        let refuse = |line: &str| {
            let refused = [("Not-Executed", "1".to_string())];
            Some(response(line, &[&base[..], &refused[..]].concat(), b""))
        };
        let target = request.header("target-instance");
        if target.is_some_and(|target| target != self.options.id) {
            return refuse("421 Misdirected Request");
        }
        if request.word(1) == "/-/grant" || request.word(1) == "/-/release" {
            return Some(self.command(request));
        }
        if id.is_empty() {
            return refuse("400 Bad Request");
        }
        let key = request.header("shard-key").and_then(|text| text.parse::<u16>().ok());
        let key = key.filter(|_| self.options.keyed).map(usize::from);
        if self.options.keyed && !key.is_some_and(|key| self.holds(key)) {
            return refuse("421 Misdirected Request");
        }
        if self.waiting.load(Ordering::SeqCst) >= QUEUE {
            return refuse("503 Service Unavailable");
        }
        self.waiting.fetch_add(1, Ordering::SeqCst);
        {
            let mut free = self.slots.0.lock().unwrap();
            while *free == 0 {
                free = self.slots.1.wait(free).unwrap();
            }
            *free -= 1;
        }
        self.waiting.fetch_sub(1, Ordering::SeqCst);
        if let Some(key) = key {
            // The hold may have ended in the queue.
            let mut keys = self.keys.lock().unwrap();
            if keys[key].until_ms <= now_ms() {
                drop(keys);
                *self.slots.0.lock().unwrap() += 1;
                self.slots.1.notify_one();
                return refuse("421 Misdirected Request");
            }
            keys[key].running += 1;
        }
        self.running.fetch_add(1, Ordering::SeqCst);
        let path = request.word(1).to_string();
        let number = {
            let run = Run {
                at_ms: now_ms(),
                server: self.options.id.clone(),
                service: self.options.service.clone(),
                id: id.clone(),
                path: path.clone(),
                from,
                key: key.map(|key| key as u16),
                finished: false,
            };
            note(format!("run {} {path} at {} ({})", id, run.server, run.service));
            let mut runs = self.runs.lock().unwrap();
            runs.push(run);
            runs.len() - 1
        };
        if self.options.crash_on.as_ref().is_some_and(|text| path.contains(text.as_str())) {
            note(format!("backend {} crashes while it runs {id}", self.options.id));
            self.crash();
            return None;
        }
        sleep_ms(self.options.work_ms);
        self.running.fetch_sub(1, Ordering::SeqCst);
        *self.slots.0.lock().unwrap() += 1;
        self.slots.1.notify_one();
        if let Some(key) = key {
            self.keys.lock().unwrap()[key].running -= 1;
            self.idle.notify_all();
        }
        if self.ended.load(Ordering::SeqCst) {
            return None;
        }
        self.runs.lock().unwrap()[number].finished = true;
        let body = format!("{} {path} {id}", self.options.service);
        let seal = [("Response-Seal", format!("{:x}.{}", body.len(), self.options.id))];
        Some(response("200 OK", &[&base[..], &seal[..]].concat(), body.as_bytes()))
    }
}

pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).expect("after 1970").as_millis() as u64
}

// ----------------------------------------------------------------------------------------- nodes

/// A loopback subnet in which no other program of ours listens.
pub fn free_subnet() -> u8 {
    let first = std::process::id() as u8;
    for step in 0..200u8 {
        let subnet = 20 + (first.wrapping_add(step)) % 200;
        if TcpListener::bind((Ipv4Addr::new(127, subnet, 0, 1), 8169)).is_ok() {
            return subnet;
        }
    }
    cannot_run("no free loopback subnet")
}

/// The process ids of all nodes, to be killed at the end.
static CHILDREN: Mutex<Vec<Arc<Mutex<Child>>>> = Mutex::new(Vec::new());

pub fn kill_all() {
    for child in CHILDREN.lock().unwrap().iter() {
        let mut child = child.lock().unwrap();
        let _ = child.kill();
        let _ = child.wait();
    }
}

/// Folders to be removed at the end.
static FOLDERS: Mutex<Vec<PathBuf>> = Mutex::new(Vec::new());

/// Ends all processes and the case.
pub fn finish(code: i32) -> ! {
    kill_all();
    for folder in FOLDERS.lock().unwrap().drain(..) {
        let _ = fs::remove_dir_all(folder);
    }
    std::process::exit(code)
}

/// Ends the case as one that could not run.
pub fn cannot_run(why: &str) -> ! {
    say(format!("cannot run: {why}"));
    finish(2)
}

/// Ends all processes and the case after a time, whatever happens.
pub fn watchdog(after: Duration) {
    thread::spawn(move || {
        thread::sleep(after);
        cannot_run("the case takes too long");
    });
}

pub struct Node {
    pub name: String,
    pub front: SocketAddr,
    pub ready: SocketAddr,
    config: PathBuf,
    log: PathBuf,
    child: Mutex<Option<Arc<Mutex<Child>>>>,
    /// When the process that runs was started, in milliseconds of the record.
    pub started_ms: AtomicU64,
}

impl Node {
    /// Writes the settings, as `deploy/node.ini` has them, and starts the program.
    pub fn start(dir: &Path, subnet: u8, number: u8, zone: &str) -> Arc<Node> {
        let store = format!("127.{subnet}.0.1:8169");
        Node::start_with(dir, subnet, number, zone, &store, "", "0.2")
    }

    /// The same with an address of the store, further lines of the section `node`, and a share of a core.
    pub fn start_with(
        dir: &Path,
        subnet: u8,
        number: u8,
        zone: &str,
        store: &str,
        lines: &str,
        cores: &str,
    ) -> Arc<Node> {
        let ip = Ipv4Addr::new(127, subnet, 1, number);
        let text = format!(
            "[node]\nname = edge-{zone}-{number}\ndomain = {zone}\ncaller = {ip}:8161\n\
             ready = {ip}:8167\npeer = {ip}:7720\nmetrics = {ip}:7735\n\
             store = {store}\n{lines}\n[limits]\ngrace_s = 6\ndrain_ms = 2000\n\
             hold_ms = 10000\nretry_ratio = 0.2\nretry_extra = 56\ncores = {cores}\n"
        );
        let name = format!("edge-{zone}-{number}");
        let config = dir.join(format!("{name}.ini"));
        if fs::write(&config, text).is_err() {
            cannot_run("the settings cannot be written");
        }
        let node = Arc::new(Node {
            log: dir.join(format!("{name}.log")),
            name,
            front: SocketAddr::from((ip, 8161)),
            ready: SocketAddr::from((ip, 8167)),
            config,
            child: Mutex::new(None),
            started_ms: AtomicU64::new(0),
        });
        node.spawn();
        node
    }

    pub fn spawn(&self) {
        let log = fs::OpenOptions::new().create(true).append(true).open(&self.log);
        let log = log.unwrap_or_else(|error| cannot_run(&error.to_string()));
        let program = root().join("target/node/whinspring-node");
        let child = Command::new(program)
            .arg("--config")
            .arg(&self.config)
            .current_dir(root())
            .env("WHINSPRING_BOOT", &self.config)
            .stdin(Stdio::null())
            .stdout(Stdio::from(log))
            .stderr(Stdio::null())
            .spawn();
        let child = child.unwrap_or_else(|error| cannot_run(&format!("whinspring-node: {error}")));
        let child = Arc::new(Mutex::new(child));
        CHILDREN.lock().unwrap().push(child.clone());
        self.started_ms.store(now_ms(), Ordering::SeqCst);
        *self.child.lock().unwrap() = Some(child);
    }

    pub fn signal(&self, name: &str) {
        let child = self.child.lock().unwrap().clone();
        let Some(child) = child else { return };
        let id = child.lock().unwrap().id().to_string();
        let _ = Command::new("kill").args([&format!("-{name}"), &id]).status();
    }

    /// Stops the process with SIGTERM, and with SIGKILL six seconds later.
    pub fn stop(&self) {
        self.signal("TERM");
        let Some(child) = self.child.lock().unwrap().take() else { return };
        for _ in 0..600 {
            if matches!(child.lock().unwrap().try_wait(), Ok(Some(_))) {
                return;
            }
            sleep_ms(10);
        }
        let mut child = child.lock().unwrap();
        let _ = child.kill();
        let _ = child.wait();
    }

    pub fn is_ready(&self) -> bool {
        let request = "GET /-/ready HTTP/1.1\r\nHost: ready\r\n\r\n".as_bytes();
        matches!(exchange(self.ready, request, 900), Ok(answer) if answer.status() == 200)
    }

    /// Whether the process has ended by itself.
    pub fn has_ended(&self) -> bool {
        let child = self.child.lock().unwrap().clone();
        child.is_some_and(|child| matches!(child.lock().unwrap().try_wait(), Ok(Some(_))))
    }
}

/// Waits until all nodes say that they are ready.
pub fn wait_ready(nodes: &[Arc<Node>]) {
    for _ in 0..100 {
        if nodes.iter().all(|node| node.is_ready()) {
            return;
        }
        sleep_ms(100);
    }
    cannot_run("the nodes do not become ready");
}

/// The repository.
pub fn root() -> PathBuf {
    PathBuf::from(env::var("CASE_ROOT").unwrap_or_else(|_| ".".into()))
}

/// Whether the disruption is to happen.
pub fn has_trouble() -> bool {
    env::var("TROUBLE").as_deref() != Ok("0")
}

/// A directory for settings and logs.
pub fn temp_dir() -> PathBuf {
    let dir = env::temp_dir().join(format!("review-2-{}", std::process::id()));
    if fs::create_dir_all(&dir).is_err() {
        cannot_run("there is no temporary folder");
    }
    FOLDERS.lock().unwrap().push(dir.clone());
    dir
}

// --------------------------------------------------------------------------------------- callers

/// Sends a request on a connection of its own and reads the whole answer.
pub fn exchange(addr: SocketAddr, request: &[u8], limit_ms: u64) -> io::Result<Message> {
    let limit = Duration::from_millis(limit_ms);
    let mut stream = TcpStream::connect_timeout(&addr, Duration::from_secs(1).min(limit))?;
    stream.set_read_timeout(Some(limit))?;
    stream.set_nodelay(true)?;
    stream.write_all(request)?;
    read_message(&mut BufReader::new(stream), true)?
        .ok_or(io::Error::from(io::ErrorKind::UnexpectedEof))
}

static LAST_ID: AtomicU64 = AtomicU64::new(0);

pub fn new_id() -> String {
    format!("{:016x}", (std::process::id() as u64) << 32 | LAST_ID.fetch_add(1, Ordering::SeqCst))
}

/// What a consumer got.
#[derive(Debug, Clone)]
pub struct Answered {
    pub id: String,
    pub sent_ms: u64,
    /// Zero if there was no answer.
    pub status: u16,
    pub body: String,
    pub sealed: bool,
    /// Time for which the consumer waits before it asks again.
    pub retry_ms: u64,
}

impl Answered {
    /// Waits as a refusal says, or for a short time.
    pub fn pause(&self, usual_ms: u64) {
        sleep_ms(usual_ms.max(self.retry_ms.min(1_000)));
    }
}

/// Sends one consumer attempt to a node.
pub fn ask(node: &Node, method: &str, host: &str, path: &str, limit_ms: u64) -> Answered {
    ask_with(node, method, host, path, limit_ms, None)
}

/// Sends one consumer attempt, with a key if there is one, to a node.
pub fn ask_with(
    node: &Node,
    method: &str,
    host: &str,
    path: &str,
    limit_ms: u64,
    key: Option<u16>,
) -> Answered {
    let key = key.map(|key| format!("Shard-Key: {key}\r\n")).unwrap_or_default();
    let id = new_id();
    let sent_ms = now_ms();
    let length = if method == "POST" { "Content-Length: 4\r\n" } else { "" };
    let body = if method == "POST" { "work" } else { "" };
    let request = format!(
        "{method} {path} HTTP/1.1\r\nHost: {host}\r\nRequest-Id: {id}\r\n\
         Request-Deadline: {limit_ms}\r\n{key}{length}\r\n{body}"
    );
    note(format!("sent {id} {method} {path} to {}", node.name));
    let answer = exchange(node.front, request.as_bytes(), limit_ms + 500);
    let answered = match answer {
        Ok(answer) => Answered {
            id,
            sent_ms,
            status: answer.status(),
            sealed: answer.header("response-seal").is_some(),
            retry_ms: answer
                .header("retry-after")
                .and_then(|text| text.parse::<f64>().ok())
                .map_or(0, |seconds| (seconds * 1_000.0) as u64),
            body: String::from_utf8_lossy(&answer.body).into_owned(),
        },
        Err(_) => Answered { id, sent_ms, status: 0, body: String::new(), sealed: false, retry_ms: 0 },
    };
    note(format!("answered {} {} {:?}", answered.id, answered.status, answered.body));
    answered
}

/// A route of the config.
pub fn route(name: &str, host: &str, prefix: &str, kind: &str, service: &str) -> Json {
    Json::obj([
        ("Name", Json::str(name)),
        ("Host", Json::str(host)),
        ("PathPrefix", Json::str(prefix)),
        ("Kind", Json::str(kind)),
        ("timeout_ms", Json::num(2000)),
        ("target_ms", Json::num(500)),
        ("Priority", Json::num(1)),
        ("Service", Json::str(service)),
        ("MaxAttempts", Json::num(2)),
    ])
}

/// A service that is divided by key.
pub fn keyed_service(name: &str) -> Json {
    let mut service = service(name);
    service.set("Sharded", Json::Bool(true));
    service.set("WarmS", Json::Num("3.0".into()));
    service.set("Grants", Json::str("direct_call"));
    service
}

/// A service without keys.
pub fn service(name: &str) -> Json {
    Json::obj([
        ("Name", Json::str(name)),
        ("HealthPath", Json::str("/health")),
        ("MaxConns", Json::num(110)),
        ("Protocol", Json::str("h1")),
        ("Tls", Json::Bool(false)),
    ])
}

pub fn config(version: u64, routes: Vec<Json>, services: Vec<Json>) -> Json {
    let limits = Json::obj([
        ("MaxHeaderBytes", Json::num(16_384)),
        ("MaxBodyBytes", Json::num(1_048_576)),
        ("HeaderTimeoutS", Json::num(3_000)),
        ("IdleTimeoutS", Json::num(15_000)),
    ]);
    Json::obj([
        ("Version", Json::num(version)),
        ("Routes", Json::Arr(routes)),
        ("Services", Json::Arr(services)),
        ("Limits", limits),
    ])
}
