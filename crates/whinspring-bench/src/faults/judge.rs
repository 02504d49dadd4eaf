//! Judges a case: what callers saw against what the servers ran.

use {
    super::{
        KEYED,
        case::{Loss, Scene},
        traffic::Log,
    },
    crate::{
        driver::{Ending, Sending, Story},
        fleet::Error,
        verdict::Verdict,
    },
    serde_json::{Value, json},
    std::{
        collections::{BTreeMap, BTreeSet},
        time::{Duration, Instant},
    },
    whinspring_standin::{
        caller::End,
        runs::{Breach, BreachKind, Event, Line, breaches},
    },
};

/// Time beyond the deadline within which an answer may still come.
const GRACE: Duration = Duration::from_millis(500);

/// Share of the times that the shown quantile leaves above it.
const QUANTILE: f64 = 0.99;

/// Longest time to be served again without a platform fault, in milliseconds.
const SERVED_MS: u64 = 1_000;

/// Servers that one request may end.
const VICTIMS: u64 = 2;

/// Counts over any number of cases.
#[derive(Debug, Default)]
pub(super) struct Counts {
    /// Seeds.
    pub(super) seeds: u64,
    /// Requests.
    pub(super) requests: u64,
    steps: u64,
    double_owner: u64,
    doubled: u64,
    false_not_run: u64,
    crossed: u64,
    lost_ack: u64,
    reverted: u64,
    silent: u64,
    victims: u64,
    served_again: Vec<u64>,
}

/// What came out of one case.
#[derive(Debug)]
pub(super) struct Judgement {
    counts: Counts,
    endings: BTreeMap<Ending, u64>,
    breaches: BTreeMap<String, u64>,
    notes: Vec<String>,
}

impl Counts {
    /// Adds a case; its times count unless the platform was at fault.
    pub(super) fn add(&mut self, judgement: Judgement, platform_fault: bool) {
        let counts = judgement.counts;
        self.requests += counts.requests;
        self.steps += counts.steps;
        self.double_owner += counts.double_owner;
        self.doubled += counts.doubled;
        self.false_not_run += counts.false_not_run;
        self.crossed += counts.crossed;
        self.lost_ack += counts.lost_ack;
        self.reverted += counts.reverted;
        self.silent += counts.silent;
        self.victims = self.victims.max(counts.victims);
        if !platform_fault {
            self.served_again.extend(counts.served_again);
        }
    }

    /// Returns the line that is printed last.
    pub(super) fn line(&self) -> Value {
        json!({
            "seeds": self.seeds,
            "steps": self.steps,
            "requests": self.requests,
            "double_owner": self.double_owner,
            "doubled": self.doubled,
            "false_not_run": self.false_not_run,
            "crossed": self.crossed,
            "lost_ack": self.lost_ack,
            "config_reverted": self.reverted,
            "silent": self.silent,
            "crash_victims_max": self.victims,
            "served_again_p99_ms": quantile(&self.served_again),
            "served_again_max_ms": self.served_again.iter().max(),
        })
    }

    /// Returns the number of broken promises.
    fn broken(&self) -> u64 {
        let owners = self.double_owner + self.doubled + self.false_not_run + self.crossed;
        owners + self.lost_ack + self.reverted + self.silent
    }
}

impl Judgement {
    /// Returns whether nothing was broken.
    pub(super) fn is_right(&self) -> bool {
        self.counts.broken() == 0 && self.counts.victims <= VICTIMS && self.notes.is_empty()
    }

    /// Returns the line of the case.
    pub(super) fn line(&self, case: &str, seed: u64) -> Value {
        let mut line = self.counts.line();
        let endings = self.endings.iter();
        let endings: BTreeMap<_, _> =
            endings.map(|(ending, count)| (format!("{ending:?}"), count)).collect();
        line["seeds"] = json!(1);
        line["case"] = json!(case);
        line["seed"] = json!(seed);
        line["right"] = json!(self.is_right());
        line["served_again"] = json!(self.counts.served_again.len());
        line["sendings"] = json!(endings);
        line["breaches"] = json!(self.breaches);
        line["notes"] = json!(self.notes);
        line
    }
}

/// Judges a case.
pub(super) fn judge(scene: &Scene, log: Log, reverted: u64) -> Result<Judgement, Error> {
    let mut runs = Vec::new();
    let mut keyed = Vec::new();
    for server in &scene.fleet.servers {
        let lines = server.runs()?;
        if server.service == KEYED {
            keyed.extend(lines.clone());
        }
        runs.extend(lines);
    }
    let mut notes = scene.notes.clone();
    let stories: Vec<_> =
        log.stories.iter().chain(log.probes.iter().flatten()).chain(&scene.stories).collect();
    let verdict = Verdict::new(stories.iter().copied(), &runs);
    if verdict.unlogged > 0 {
        notes.push(format!("{} answers that no run log knows", verdict.unlogged));
    }
    let breaches = breaches(&keyed);
    let terms_back = terms_back(&keyed);
    for (first, second) in terms_back.iter().take(3) {
        notes.push(format!("a lower term after a higher one: {first:?}, then {second:?}"));
    }
    for breach in breaches.iter().take(3) {
        notes.push(format!("{breach:?}"));
    }
    let sendings =
        || stories.iter().flat_map(|story| story.sendings.iter().map(move |s| (*story, s)));
    let silent: Vec<_> =
        sendings().filter(|(story, sending)| is_silent(scene, story, sending)).collect();
    for (story, sending) in silent.iter().take(3) {
        let reply = &sending.reply;
        notes.push(format!("silent: {} {reply:?} at {}", story.request.id, sending.entry));
    }
    let mut endings = BTreeMap::new();
    for (_, sending) in sendings() {
        *endings.entry(sending.ending()).or_default() += 1;
    }
    if let Some(note) = scene.is_planned().then(|| cuts(&stories)).flatten() {
        notes.push(note);
    }
    let served_again = served_again(&scene.losses, &log.probes, &runs, &mut notes);
    if !scene.has_platform_fault() && served_again.iter().any(|time| *time > SERVED_MS) {
        notes.push(format!("keys of a lost server were not served within {SERVED_MS} ms"));
    }
    let counts = Counts {
        seeds: 1,
        requests: verdict.requests,
        steps: scene.steps,
        double_owner: (breaches.len() + terms_back.len()) as u64,
        doubled: verdict.doubled,
        false_not_run: verdict.false_not_run,
        crossed: endings.get(&Ending::Wrong).copied().unwrap_or_default(),
        lost_ack: scene.lost_ack,
        reverted,
        silent: silent.len() as u64,
        victims: scene.victims,
        served_again,
    };
    Ok(Judgement { counts, endings, breaches: kinds(&breaches), notes })
}

/// Tells of exchanges that ended after their connection was made, without a whole answer.
fn cuts(stories: &[&Story]) -> Option<String> {
    let sendings = stories.iter().flat_map(|story| &story.sendings);
    let count = |end| sendings.clone().filter(|sending| sending.reply.end == end).count();
    let (cut, broken) = (count(End::Cut), count(End::Broken));
    (cut + broken > 0).then(|| format!("{cut} answers cut, {broken} connections lost unanswered"))
}

/// Returns the runs with a lower term than an earlier run of the same server, with that run.
///
/// They show that a former holder still sent work while the next one did.
fn terms_back(runs: &[Line]) -> Vec<(&Line, &Line)> {
    let mut highest: BTreeMap<u64, &Line> = BTreeMap::new();
    let mut found = Vec::new();
    for run in runs.iter().filter(|line| line.event == Event::Start) {
        let first = highest.entry(run.boot).or_insert(run);
        if run.term < first.term {
            found.push((*first, run));
        } else {
            *first = run;
        }
    }
    found
}

/// Counts breaches by what they show, and the runs that went on when another server had begun.
fn kinds(breaches: &[Breach]) -> BTreeMap<String, u64> {
    let mut kinds = BTreeMap::new();
    let mut outlived = BTreeSet::new();
    for breach in breaches {
        *kinds.entry(format!("{:?}", breach.kind)).or_default() += 1;
        if breach.kind == BreachKind::Overlap {
            outlived.insert((breach.first.boot, breach.first.run));
        }
    }
    if !outlived.is_empty() {
        kinds.insert("runs that outlived their server's loss".into(), outlived.len() as u64);
    }
    kinds
}

/// Returns whether a sending got no final answer in time though its entry was not frozen.
fn is_silent(scene: &Scene, story: &Story, sending: &Sending) -> bool {
    let deadline = Duration::from_millis(story.request.deadline_ms);
    let late = sending.reply.latency > deadline + GRACE || sending.ending() == Ending::Silent;
    let end = sending.began + sending.reply.latency;
    let frozen = scene.frozen.iter().any(|frozen| {
        frozen.entry == sending.entry && sending.began < frozen.to && end > frozen.from
    });
    late && !frozen
}

/// Returns the milliseconds from each loss to the next right answer, for each key it concerned.
fn served_again(
    losses: &[Loss],
    probes: &[Vec<Story>],
    runs: &[Line],
    notes: &mut Vec<String>,
) -> Vec<u64> {
    let starts = runs.iter().filter(|line| line.event == Event::Start);
    let servers: BTreeMap<_, _> =
        starts.map(|line| (line.id.as_str(), line.server.as_str())).collect();
    let mut times = Vec::new();
    for loss in losses {
        for stories in probes {
            let owner = last_server(stories, loss.at, &servers);
            if !owner.is_some_and(|owner| loss.servers.iter().any(|server| server == owner)) {
                continue;
            }
            match next_answer(stories, loss.at) {
                Some(time) => times.push(time.as_millis() as u64),
                None => notes.push(format!("{} was not served again", stories[0].request.key)),
            }
        }
    }
    times
}

/// Returns the server of the last right answer before an instant.
fn last_server<'a>(
    stories: &[Story],
    at: Instant,
    servers: &BTreeMap<&str, &'a str>,
) -> Option<&'a str> {
    let right = |story: &&Story| {
        let last = story.sendings.last();
        last.is_some_and(|last| {
            last.ending() == Ending::Done && last.began + last.reply.latency <= at
        })
    };
    let story = stories.iter().rev().find(right)?;
    servers.get(story.request.id.as_str()).copied()
}

/// Returns the time from an instant to the end of the first right answer that was asked for later.
fn next_answer(stories: &[Story], at: Instant) -> Option<Duration> {
    let mut sendings = stories.iter().flat_map(|story| &story.sendings);
    let right = |sending: &&Sending| sending.ending() == Ending::Done && sending.began >= at;
    let sending = sendings.find(right)?;
    Some(sending.began + sending.reply.latency - at)
}

/// Returns the shown quantile, by the nearest rank.
fn quantile(times: &[u64]) -> Option<u64> {
    let mut times = times.to_vec();
    times.sort_unstable();
    let rank = (times.len() as f64 * QUANTILE).ceil() as usize;
    times.get(rank.checked_sub(1)?).copied()
}
