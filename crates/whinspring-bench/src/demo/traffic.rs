//! The callers of the demo.

use {
    crate::driver::{Ending, Request, Story, deliver},
    hyper::Method,
    rand::{Rng, SeedableRng},
    rand_chacha::ChaCha8Rng,
    std::{collections::BTreeMap, net::SocketAddr, time::Duration},
    tokio::{sync::watch, time::sleep},
    whinspring_standin::caller::Caller,
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
            stories.push(deliver(&self.caller, &self.entries, request, PATIENCE).await);
            sleep(PAUSE).await;
        }
        Log { name: self.name, stories }
    }
}

impl Log {
    /// Prints one line of counts, and a line for each request that was not answered at once.
    pub(super) fn print(&self) {
        let mut endings: BTreeMap<Ending, u32> = BTreeMap::new();
        for story in &self.stories {
            *endings.entry(story.ending()).or_default() += 1;
        }
        let slowest = self.stories.iter().map(|story| story.took).max().unwrap_or_default();
        println!("{}: {endings:?}, slowest {} ms", self.name, slowest.as_millis());
        let plain = |story: &&Story| story.sendings.len() == 1 && story.ending() == Ending::Done;
        for story in self.stories.iter().filter(|story| !plain(story)) {
            print_story(story);
        }
    }
}

/// Prints each sending of a request.
fn print_story(story: &Story) {
    let request = &story.request;
    let sendings = story.sendings.iter().map(|sending| {
        let code = sending.reply.code.map_or("-".into(), |code| code.to_string());
        format!("{:?}({code})", sending.ending())
    });
    let sendings: Vec<_> = sendings.collect();
    println!(
        "    {} {}: {} in {} ms",
        request.method,
        request.path,
        sendings.join(", "),
        story.took.as_millis()
    );
}
