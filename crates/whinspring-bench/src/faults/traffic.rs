//! Traffic: callers that send random requests, and probes that request the same keys continuously.

use {
    super::{KEYED, UNKEYED},
    crate::{
        driver::{Attempt, History, Request, send_with_retries},
        fleet::Fleet,
    },
    hyper::Method,
    rand::{Rng, SeedableRng},
    rand_chacha::ChaCha8Rng,
    std::{
        net::SocketAddr,
        time::{Duration, Instant},
    },
    tokio::{sync::watch, task::JoinSet, time::sleep},
    whinspring_standin::caller::Caller,
};

/// Number of callers that send random requests.
const CALLERS: u64 = 8;

/// Number of keys that are probed.
const PROBED_KEYS: u64 = 24;

/// Number of keys used by random requests.
const KEYS: u32 = 200;

/// Pause of a caller between two requests.
const PAUSE: Duration = Duration::from_millis(15);

/// Limit on the time for which a request is retried.
const RETRY_TIMEOUT: Duration = Duration::from_secs(5);

/// One request in this many goes to the unkeyed service.
const UNKEYED_ONE_IN: u32 = 5;

/// One non-idempotent request in this many is sent again while its first attempt is running.
const DUPLICATE_ONE_IN: u32 = 4;

/// Running callers and probes.
#[derive(Debug)]
pub(super) struct Traffic {
    stop: watch::Sender<bool>,
    callers: JoinSet<Vec<History>>,
    probes: JoinSet<Vec<History>>,
}

/// Histories of all requests sent.
#[derive(Debug, Default)]
pub(super) struct Log {
    /// Random requests.
    pub(super) histories: Vec<History>,
    /// Probes of each probed key, in the order sent.
    pub(super) probes: Vec<Vec<History>>,
}

impl Traffic {
    /// Starts all callers and probes; the probes use `probe_entries` only.
    pub(super) fn start(fleet: &Fleet, probe_entries: Vec<SocketAddr>, seed: u64) -> Self {
        let entries: Vec<_> = fleet.daemons.iter().map(|daemon| daemon.caller).collect();
        let stop = watch::Sender::new(false);
        let mut callers = JoinSet::new();
        for index in 0..CALLERS {
            let random = ChaCha8Rng::seed_from_u64(seed * CALLERS + index);
            callers.spawn(run_caller(random, entries.clone(), stop.subscribe()));
        }
        let mut probes = JoinSet::new();
        for index in 0..PROBED_KEYS {
            probes.spawn(run_probe(
                format!("probed-{index}"),
                probe_entries.clone(),
                stop.subscribe(),
            ));
        }
        Self { stop, callers, probes }
    }

    /// Stops all callers and probes and returns their histories.
    pub(super) async fn stop(self) -> Log {
        self.stop.send_replace(true);
        let histories = self.callers.join_all().await.concat();
        Log { histories, probes: self.probes.join_all().await }
    }
}

/// Sends random requests until `stop` is set.
async fn run_caller(
    mut random: ChaCha8Rng,
    entries: Vec<SocketAddr>,
    stop: watch::Receiver<bool>,
) -> Vec<History> {
    let caller = Caller::new();
    let mut histories = Vec::new();
    while !*stop.borrow() {
        let request = draw_request(&mut random);
        let history = if !request.is_repeatable() && random.random_ratio(1, DUPLICATE_ONE_IN) {
            let first = random.random_range(0..entries.len());
            send_duplicates(&caller, &entries, request, first).await
        } else {
            send_with_retries(&caller, &entries, request, RETRY_TIMEOUT).await
        };
        histories.push(history);
        sleep(PAUSE).await;
    }
    histories
}

/// Sends a request through two entries concurrently, and again through the next when both attempts
/// have ended.
async fn send_duplicates(
    caller: &Caller,
    entries: &[SocketAddr],
    request: Request,
    first: usize,
) -> History {
    let start = Instant::now();
    let send = async |index: usize| {
        let entry = entries[(first + index) % entries.len()];
        let sent_at = Instant::now();
        let reply = caller.send(&request.call(entry, index + 1)).await;
        Attempt { entry, sent_at, reply }
    };
    let (one, two) = tokio::join!(send(0), send(1));
    let attempts = vec![one, two, send(2).await];
    History { request, attempts, elapsed: start.elapsed() }
}

/// Creates a random request.
fn draw_request(random: &mut ChaCha8Rng) -> Request {
    let method = if random.random() { Method::POST } else { Method::GET };
    let key = random.random_range(0..KEYS);
    if random.random_ratio(1, UNKEYED_ONE_IN) {
        return Request::new(method, format!("/{UNKEYED}/{key}"));
    }
    let key = format!("key-{key}");
    let path = format!("/{KEYED}/{key}");
    Request { key, body: random.random::<u64>().to_string().into(), ..Request::new(method, path) }
}

/// Requests one key until `stop` is set.
async fn run_probe(
    key: String,
    entries: Vec<SocketAddr>,
    stop: watch::Receiver<bool>,
) -> Vec<History> {
    let caller = Caller::new();
    let mut histories = Vec::new();
    while !*stop.borrow() {
        let request = Request::new(Method::GET, format!("/{KEYED}/{key}"));
        let request = Request { key: key.clone(), ..request };
        histories.push(send_with_retries(&caller, &entries, request, RETRY_TIMEOUT).await);
        sleep(PAUSE).await;
    }
    histories
}
