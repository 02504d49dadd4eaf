//! The callers of the demo.

use {
    crate::driver::{History, Outcome, Request, send_with_retries},
    hyper::Method,
    rand::{Rng, SeedableRng},
    rand_chacha::ChaCha8Rng,
    std::{collections::BTreeMap, net::SocketAddr, time::Duration},
    tokio::{sync::watch, time::sleep},
    whinspring_standin::caller::{Caller, End},
};

/// Pause of a caller between two requests.
const PAUSE: Duration = Duration::from_millis(25);

/// Limit on the time for which a request is retried.
const RETRY_TIMEOUT: Duration = Duration::from_secs(10);

/// Number of distinct keys.
const KEYS: u32 = 500;

/// Size of a gate manifest, in bytes.
const MANIFEST_BYTES: u64 = 2_000_000;

/// Size of an evidence bundle, in bytes.
const BUNDLE_BYTES: u64 = 20_000_000;

/// One request in this many is a write, which is not idempotent.
const WRITE_ONE_IN: u32 = 4;

pub(super) const KINDS: [Kind; 4] =
    [Kind::Reservations, Kind::Checks, Kind::Manifests, Kind::Bundles];

/// Kind of requests that a caller sends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Kind {
    /// Availability and bookings of lorry bays.
    Reservations,
    /// Standing and verification of suppliers.
    Checks,
    /// Gate manifests.
    Manifests,
    /// Evidence bundles.
    Bundles,
}

impl Kind {
    /// Returns the name of the service.
    fn name(self) -> &'static str {
        match self {
            Self::Reservations => "reservations",
            Self::Checks => "checks",
            Self::Manifests => "manifests",
            Self::Bundles => "bundles",
        }
    }

    /// Creates a random request.
    fn request(self, random: &mut ChaCha8Rng) -> Request {
        let key = random.random_range(0..KEYS);
        let write = random.random_ratio(1, WRITE_ONE_IN);
        let method = if write { Method::POST } else { Method::GET };
        match self {
            Self::Reservations => Request::new(method, format!("/reservations/bay-{key}/night")),
            Self::Checks => {
                let mut request = Request::new(method, "/checks/standing");
                request.key = format!("supplier-{key}");
                request
            }
            Self::Manifests => {
                Request::new(Method::GET, format!("/manifests/{key}?bytes={MANIFEST_BYTES}"))
            }
            Self::Bundles => {
                let path = format!("/bundles/{key}?bytes={BUNDLE_BYTES}");
                Request { deadline_ms: 10_000, ..Request::new(Method::GET, path) }
            }
        }
    }
}

/// A caller of the demo.
#[derive(Debug)]
pub(super) struct DemoCaller {
    kind: Kind,
    name: String,
    random: ChaCha8Rng,
    entries: Vec<SocketAddr>,
    caller: Caller,
}

/// Histories of the requests of a caller.
#[derive(Debug)]
pub(super) struct Log {
    /// Name of the caller.
    pub(super) name: String,
    pub(super) histories: Vec<History>,
}

impl DemoCaller {
    /// Returns a caller of a kind; `index` numbers the callers of the kind from zero.
    pub(super) fn new(kind: Kind, index: usize, seed: u64, entries: Vec<SocketAddr>) -> Self {
        let name = format!("{} caller {}", kind.name(), index + 1);
        let random = ChaCha8Rng::seed_from_u64(seed);
        Self { kind, name, random, entries, caller: Caller::new() }
    }

    /// Sends requests until `stop` is set.
    pub(super) async fn run(mut self, stop: watch::Receiver<bool>) -> Log {
        let mut histories = Vec::new();
        while !*stop.borrow() {
            let mut request = self.kind.request(&mut self.random);
            request.customer = self.name.replace(' ', "-");
            let history =
                send_with_retries(&self.caller, &self.entries, request, RETRY_TIMEOUT).await;
            self.remove_unreachable(&history);
            histories.push(history);
            sleep(PAUSE).await;
        }
        Log { name: self.name, histories }
    }

    /// Stops using entries that refused a connection, as the platform's load balancer would.
    fn remove_unreachable(&mut self, history: &History) {
        for attempt in &history.attempts {
            if attempt.reply.end == End::Unreachable && self.entries.len() > 1 {
                self.entries.retain(|entry| *entry != attempt.entry);
            }
        }
    }
}

impl Log {
    /// Prints the number of requests by outcome, and by sequence of attempts.
    pub(super) fn print(&self) {
        let mut outcomes: BTreeMap<Outcome, u32> = BTreeMap::new();
        let mut sequences: BTreeMap<String, u32> = BTreeMap::new();
        for history in &self.histories {
            *outcomes.entry(history.outcome()).or_default() += 1;
            *sequences.entry(describe_attempts(history)).or_default() += 1;
        }
        let slowest =
            self.histories.iter().map(|history| history.elapsed).max().unwrap_or_default();
        println!("{}: {outcomes:?}, slowest {} ms", self.name, slowest.as_millis());
        for (sequence, count) in sequences {
            println!("    {count:>4} x {sequence}");
        }
    }
}

/// Describes a request by its method and the outcome of each attempt.
fn describe_attempts(history: &History) -> String {
    let results = history.attempts.iter().map(|attempt| {
        let code = attempt.reply.code.map_or(String::new(), |code| format!(" {code}"));
        format!("{:?}{code}", attempt.outcome())
    });
    let results: Vec<_> = results.collect();
    format!("{} {}", history.request.method, results.join(", then "))
}
