//! HTTP handlers of the object API and of the endpoints that control the stand-in.

use {
    super::{
        MAX_VALUE_BYTES,
        faults::{Change, Faults, Outage},
        store::{Id, Outcome, Store, Write},
        vms::{State, Vms},
    },
    crate::http::{Handler, HttpResponse, NoResponse, json, status},
    bytes::Bytes,
    http_body_util::{BodyExt, Either, Full, Limited},
    hyper::{HeaderMap, Method, Request, StatusCode, body::Incoming, header::HeaderValue},
    parking_lot::Mutex,
    percent_encoding::percent_decode_str,
    rand::{Rng, SeedableRng, rngs::StdRng},
    serde::{Deserialize, Serialize, de::DeserializeOwned},
    std::{collections::BTreeMap, pin::pin, sync::Arc, time::Duration},
    tokio::{
        sync::watch,
        time::{Instant, sleep, timeout_at},
    },
};

/// Scale of [`Faults::lose_replies`]: at this value every response to a write is lost.
const PER_MILLE: u32 = 1_000;

/// Upper limit of the wait time of a watch.
const MAX_WATCH_MS: u64 = 60_000;

/// State of the stand-in, shared by all requests.
#[derive(Debug)]
pub(super) struct Api {
    store: Mutex<Store>,
    vms: Mutex<Vms>,
    counts: Mutex<CallCounts>,
    rng: Mutex<StdRng>,
    faults: watch::Sender<Faults>,
    revision: watch::Sender<u64>,
}

/// Number of API calls since the start, by type.
#[derive(Debug, Default, Clone, Serialize)]
struct CallCounts {
    total: u64,
    #[serde(flatten)]
    types: BTreeMap<&'static str, u64>,
}

/// Request body that sets the state of a VM.
#[derive(Debug, Deserialize)]
struct VmChange {
    state: State,
}

/// A parsed call of the object API.
#[derive(Debug)]
enum Call {
    Get(Id),
    List,
    Put(Id),
    Delete(Id),
    Watch { after: u64, wait: Duration },
    Vms,
}

impl Call {
    /// Parses method, path and query; `None` if they are not a call of the object API.
    fn parse(method: &Method, path: &str, query: &str) -> Option<Self> {
        let mut parts = path.trim_start_matches('/').splitn(3, '/');
        match (method, parts.next()?, parts.next(), parts.next()) {
            (&Method::GET, "objects", None, None) => Some(Self::List),
            (&Method::GET, "objects", Some(kind), Some(name)) => {
                Some(Self::Get(decode_id(kind, name)?))
            }
            (&Method::PUT, "objects", Some(kind), Some(name)) => {
                Some(Self::Put(decode_id(kind, name)?))
            }
            (&Method::DELETE, "objects", Some(kind), Some(name)) => {
                Some(Self::Delete(decode_id(kind, name)?))
            }
            (&Method::GET, "vms", None, None) => Some(Self::Vms),
            (&Method::GET, "watch", None, None) => {
                let after = query_number(query, "after")?;
                let wait = query_number(query, "wait_ms")?.min(MAX_WATCH_MS);
                Some(Self::Watch { after, wait: Duration::from_millis(wait) })
            }
            _ => None,
        }
    }

    /// Returns the name of the call type in [`CallCounts`].
    fn type_name(&self) -> &'static str {
        match self {
            Self::Get(_) => "get",
            Self::List => "list",
            Self::Put(_) => "put",
            Self::Delete(_) => "delete",
            Self::Watch { .. } => "watch",
            Self::Vms => "vms",
        }
    }
}

impl Handler for Api {
    async fn handle(
        self: Arc<Self>,
        request: Request<Incoming>,
    ) -> Result<HttpResponse, NoResponse> {
        let (head, body) = request.into_parts();
        let query = head.uri.query().unwrap_or_default();
        let Some(call) = Call::parse(&head.method, head.uri.path(), query) else {
            let body = read_body(body).await.unwrap_or_default();
            return Ok(self.control(&head.method, head.uri.path(), &body));
        };
        self.count(call.type_name());
        let faults = self.faults.subscribe();
        run_unless_down(faults, self.execute(call, &head.headers, body)).await
    }
}

impl Api {
    pub(super) fn new(history: u64, seed: u64) -> Self {
        Self {
            store: Mutex::new(Store::new(history)),
            vms: Mutex::new(Vms::default()),
            counts: Mutex::new(CallCounts::default()),
            rng: Mutex::new(StdRng::seed_from_u64(seed)),
            faults: watch::Sender::new(Faults::default()),
            revision: watch::Sender::new(0),
        }
    }

    /// Executes a call, with half of the injected delay before and half after it.
    async fn execute(
        &self,
        call: Call,
        headers: &HeaderMap,
        body: Incoming,
    ) -> Result<HttpResponse, NoResponse> {
        let half = Duration::from_millis(self.faults.borrow().delay_ms) / 2;
        sleep(half).await;
        let response = match call {
            Call::Get(id) => self.get(&id),
            Call::List => json(&self.store.lock().list()),
            Call::Watch { after, wait } => self.watch(after, wait).await,
            Call::Vms => self.list_vms(),
            Call::Put(id) => {
                let Some(value) = read_body(body).await else {
                    return Ok(status(StatusCode::PAYLOAD_TOO_LARGE));
                };
                self.write(id, headers, Some(value))?
            }
            Call::Delete(id) => self.write(id, headers, None)?,
        };
        sleep(half).await;
        Ok(response)
    }

    fn get(&self, id: &Id) -> HttpResponse {
        let store = self.store.lock();
        let Some(entry) = store.get(id) else {
            return status(StatusCode::NOT_FOUND);
        };
        let value = entry.value.clone().unwrap_or_default();
        let mut response = HttpResponse::new(Either::Left(Full::new(value)));
        set_version_headers(&mut response, entry.version, entry.mark);
        response
    }

    /// Writes or deletes one object.
    ///
    /// If the response is chosen to be lost, the write still takes effect.
    fn write(
        &self,
        id: Id,
        headers: &HeaderMap,
        value: Option<Bytes>,
    ) -> Result<HttpResponse, NoResponse> {
        let expect = header_number(headers, "x-if-version");
        let mark = header_number(headers, "x-mark");
        let (Some(expect), Some(mark)) = (expect, mark) else {
            return Ok(status(StatusCode::BAD_REQUEST));
        };
        let outcome = self.store.lock().write(Write { id, expect, mark, value });
        let mut response = match outcome {
            Outcome::Written(_) => status(StatusCode::OK),
            Outcome::Conflict { .. } => status(StatusCode::CONFLICT),
        };
        match outcome {
            Outcome::Written(version) => {
                self.revision.send_replace(version);
                set_version_headers(&mut response, version, mark);
            }
            Outcome::Conflict { version, mark } => {
                set_version_headers(&mut response, version, mark)
            }
        }
        if self.should_drop_reply() {
            return Err(NoResponse);
        }
        Ok(response)
    }

    /// Returns the changes after a revision, waiting up to `wait` for the first one.
    async fn watch(&self, after: u64, wait: Duration) -> HttpResponse {
        let deadline = Instant::now() + wait;
        let mut revision = self.revision.subscribe();
        loop {
            revision.mark_unchanged();
            let changes = self.store.lock().changes(after);
            let Some(changes) = changes else {
                return status(StatusCode::GONE);
            };
            let timed_out = Instant::now() >= deadline;
            if timed_out || !changes.objects.is_empty() {
                return json(&changes);
            }
            let _ = timeout_at(deadline, revision.changed()).await;
        }
    }

    /// Lists the VMs with the states they had `vm_lag_ms` ago.
    fn list_vms(&self) -> HttpResponse {
        let lag = Duration::from_millis(self.faults.borrow().vm_lag_ms);
        json(&self.vms.lock().list(Instant::now().checked_sub(lag)))
    }

    /// Handles the endpoints that control the stand-in.
    fn control(&self, method: &Method, path: &str, body: &Bytes) -> HttpResponse {
        match (method.as_str(), path) {
            ("GET", "/calls") => json(&*self.counts.lock()),
            ("GET", "/faults") => json(&*self.faults.borrow()),
            ("PUT", "/faults") => apply_json(body, |change: Change| {
                self.faults.send_modify(|faults| faults.apply(change));
            }),
            ("PUT", path) if path.starts_with("/vms/") => apply_json(body, |vm: VmChange| {
                let name = path.trim_start_matches("/vms/");
                self.vms.lock().set(name, vm.state, Instant::now());
            }),
            _ => status(StatusCode::NOT_FOUND),
        }
    }

    fn count(&self, type_name: &'static str) {
        let mut counts = self.counts.lock();
        counts.total += 1;
        *counts.types.entry(type_name).or_default() += 1;
    }

    /// Decides at random whether the response to a write is lost.
    ///
    /// Draws no random number while no loss is configured.
    fn should_drop_reply(&self) -> bool {
        let loss = self.faults.borrow().lose_replies;
        loss > 0 && self.rng.lock().random_range(0..PER_MILLE) < loss
    }
}

/// Runs a call, and drops it as soon as an outage begins.
///
/// A call that was in progress when the outage began gets no response after its end either.
async fn run_unless_down(
    mut faults: watch::Receiver<Faults>,
    response: impl Future<Output = Result<HttpResponse, NoResponse>>,
) -> Result<HttpResponse, NoResponse> {
    let mut response = pin!(response);
    loop {
        let outage = faults.borrow_and_update().outage;
        match outage {
            Outage::Off => {}
            Outage::Refuse => return Err(NoResponse),
            Outage::Hang => {
                let _ = faults.wait_for(|faults| faults.outage != Outage::Hang).await;
                return Err(NoResponse);
            }
        }
        tokio::select! {
            biased;
            _ = faults.changed() => {}
            response = &mut response => return response,
        }
    }
}

/// Reads a body of at most [`MAX_VALUE_BYTES`]; `None` if it is larger or breaks off.
async fn read_body(body: Incoming) -> Option<Bytes> {
    Some(Limited::new(body, MAX_VALUE_BYTES).collect().await.ok()?.to_bytes())
}

/// Parses a JSON body and passes it to `apply`; responds with status 400 if it is invalid.
fn apply_json<T: DeserializeOwned>(body: &Bytes, apply: impl FnOnce(T)) -> HttpResponse {
    let Ok(value) = serde_json::from_slice(body) else {
        return status(StatusCode::BAD_REQUEST);
    };
    apply(value);
    status(StatusCode::OK)
}

fn set_version_headers(response: &mut HttpResponse, version: u64, mark: u64) {
    response.headers_mut().insert("x-version", HeaderValue::from(version));
    response.headers_mut().insert("x-mark", HeaderValue::from(mark));
}

/// Returns the identity of an object; the name is percent-encoded UTF-8.
fn decode_id(kind: &str, name: &str) -> Option<Id> {
    let name = percent_decode_str(name).decode_utf8().ok()?;
    Some(Id { kind: kind.into(), name: name.into() })
}

fn header_number(headers: &HeaderMap, name: &str) -> Option<u64> {
    headers.get(name)?.to_str().ok()?.parse().ok()
}

fn query_number(query: &str, name: &str) -> Option<u64> {
    let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    pairs.filter(|(key, _)| *key == name).find_map(|(_, value)| value.parse().ok())
}
