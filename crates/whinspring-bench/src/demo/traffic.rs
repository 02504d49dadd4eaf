//! The callers of the demo.

use {
    crate::driver::{Ending, Request, Story, deliver},
    hyper::Method,
    rand::{Rng, SeedableRng},
    rand_chacha::ChaCha8Rng,
    std::{collections::BTreeMap, net::SocketAddr, time::Duration},
    tokio::{sync::watch, time::sleep},
    whinspring_standin::caller::{Caller, End},
};

/// Wait of a caller between two requests.
const PAUSE: Duration = Duration::from_millis(25);

/// Longest time for which a caller resends one request.
const PATIENCE: Duration = Duration::from_secs(10);

/// Keys that callers ask for.
const KEYS: u32 = 500;

/// Bytes of a gate manifest.
const MANIFEST_BYTES: u64 = 2_000_000;

/// Bytes of an evidence bundle.
const BUNDLE_BYTES: u64 = 20_000_000;

/// One request in so many changes something and may not be repeated.
const WRITE_SHARE: u32 = 4;

/// Every kind of caller.
pub(super) const KINDS: [Kind; 4] =
    [Kind::Reservations, Kind::Checks, Kind::Manifests, Kind::Bundles];

/// What a caller asks for.
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
    /// Returns the name of its service.
    fn name(self) -> &'static str {
        match self {
            Self::Reservations => "reservations",
            Self::Checks => "checks",
            Self::Manifests => "manifests",
            Self::Bundles => "bundles",
        }
    }

    /// Draws a request.
    fn request(self, random: &mut ChaCha8Rng) -> Request {
        let key = random.random_range(0..KEYS);
        let write = random.random_ratio(1, WRITE_SHARE);
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
pub(super) struct Customer {
    kind: Kind,
    name: String,
    random: ChaCha8Rng,
    entries: Vec<SocketAddr>,
    caller: Caller,
}

/// What a caller got.
#[derive(Debug)]
pub(super) struct Log {
    /// Name of the caller.
    pub(super) name: String,
    /// Its requests.
    pub(super) stories: Vec<Story>,
}

impl Customer {
    /// Returns a caller of `kind`.
    pub(super) fn new(kind: Kind, index: usize, seed: u64, entries: Vec<SocketAddr>) -> Self {
        let name = format!("{} caller {}", kind.name(), index + 1);
        let random = ChaCha8Rng::seed_from_u64(seed);
        Self { kind, name, random, entries, caller: Caller::new() }
    }

    /// Sends requests until told to stop.
    pub(super) async fn run(mut self, stop: watch::Receiver<bool>) -> Log {
        let mut stories = Vec::new();
        while !*stop.borrow() {
            let mut request = self.kind.request(&mut self.random);
            request.customer = self.name.replace(' ', "-");
            let story = deliver(&self.caller, &self.entries, request, PATIENCE).await;
            self.forget_dead(&story);
            stories.push(story);
            sleep(PAUSE).await;
        }
        Log { name: self.name, stories }
    }

    /// Uses entries that refused a connection no more, as the platform's balancer would.
    fn forget_dead(&mut self, story: &Story) {
        for sending in &story.sendings {
            if sending.reply.end == End::Unreachable && self.entries.len() > 1 {
                self.entries.retain(|entry| *entry != sending.entry);
            }
        }
    }
}

impl Log {
    /// Prints counts of how requests ended, and of the ways of those not answered at once.
    pub(super) fn print(&self) {
        let mut endings: BTreeMap<Ending, u32> = BTreeMap::new();
        let mut ways: BTreeMap<String, u32> = BTreeMap::new();
        for story in &self.stories {
            *endings.entry(story.ending()).or_default() += 1;
            *ways.entry(way(story)).or_default() += 1;
        }
        let slowest = self.stories.iter().map(|story| story.took).max().unwrap_or_default();
        println!("{}: {endings:?}, slowest {} ms", self.name, slowest.as_millis());
        for (way, count) in ways {
            println!("    {count:>4} x {way}");
        }
    }
}

/// Returns the method of a request and the result of each sending.
fn way(story: &Story) -> String {
    let results = story.sendings.iter().map(|sending| {
        let code = sending.reply.code.map_or(String::new(), |code| format!(" {code}"));
        format!("{:?}{code}", sending.ending())
    });
    let results: Vec<_> = results.collect();
    format!("{} {}", story.request.method, results.join(", then "))
}
