//! Evaluates a case: compares the responses with the run logs of the servers.

use {
    super::{
        KEYED,
        case::{Loss, Scenario},
        traffic::Log,
    },
    crate::{
        driver::{Attempt, History, Outcome},
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

/// Tolerance beyond the deadline for the arrival of a response.
const ANSWER_GRACE: Duration = Duration::from_millis(500);

/// Quantile of the recovery times that is reported.
const QUANTILE: f64 = 0.99;

/// Limit on recovery times without a platform fault, in milliseconds.
const MAX_RECOVERY_MS: u64 = 1_000;

/// Number of servers that one request may crash.
const MAX_VICTIMS: u64 = 2;

/// Counts of one or several cases.
#[derive(Debug, Default)]
pub(super) struct Counts {
    pub(super) seeds: u64,
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

/// Result of one case.
#[derive(Debug)]
pub(super) struct Evaluation {
    counts: Counts,
    outcomes: BTreeMap<Outcome, u64>,
    breaches: BTreeMap<String, u64>,
    notes: Vec<String>,
}

impl Counts {
    /// Adds a case; its recovery times are ignored if the platform had a fault.
    pub(super) fn add(&mut self, evaluation: Evaluation, platform_fault: bool) {
        let counts = evaluation.counts;
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

    /// Returns the counts as the summary object that is printed last.
    pub(super) fn to_json(&self) -> Value {
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

    /// Returns the number of violated guarantees.
    fn violations(&self) -> u64 {
        let owners = self.double_owner + self.doubled + self.false_not_run + self.crossed;
        owners + self.lost_ack + self.reverted + self.silent
    }
}

impl Evaluation {
    /// Returns whether no guarantee was violated and no other failure was noted.
    pub(super) fn is_correct(&self) -> bool {
        self.counts.violations() == 0 && self.counts.victims <= MAX_VICTIMS && self.notes.is_empty()
    }

    /// Returns the object that is printed for the case.
    pub(super) fn to_json(&self, case: &str, seed: u64) -> Value {
        let mut line = self.counts.to_json();
        let outcomes = self.outcomes.iter();
        let outcomes: BTreeMap<_, _> =
            outcomes.map(|(outcome, count)| (format!("{outcome:?}"), count)).collect();
        line["seeds"] = json!(1);
        line["case"] = json!(case);
        line["seed"] = json!(seed);
        line["right"] = json!(self.is_correct());
        line["served_again"] = json!(self.counts.served_again.len());
        line["sendings"] = json!(outcomes);
        line["breaches"] = json!(self.breaches);
        line["notes"] = json!(self.notes);
        line
    }
}

/// Evaluates a case from the histories of its requests and the run logs of its servers.
pub(super) fn evaluate(scenario: &Scenario, log: Log, reverted: u64) -> Result<Evaluation, Error> {
    let mut runs = Vec::new();
    let mut keyed = Vec::new();
    for server in &scenario.fleet.servers {
        let lines = server.runs()?;
        if server.service == KEYED {
            keyed.extend(lines.clone());
        }
        runs.extend(lines);
    }
    let mut notes = scenario.notes.clone();
    let histories: Vec<_> = log
        .histories
        .iter()
        .chain(log.probes.iter().flatten())
        .chain(&scenario.histories)
        .collect();
    let verdict = Verdict::new(histories.iter().copied(), &runs);
    if verdict.unlogged > 0 {
        notes.push(format!(
            "{} verified responses without an entry in any run log",
            verdict.unlogged
        ));
    }
    let breaches = breaches(&keyed);
    let regressions = term_regressions(&keyed);
    for (first, second) in regressions.iter().take(3) {
        notes.push(format!("term went back on one server: {first:?}, then {second:?}"));
    }
    for breach in breaches.iter().take(3) {
        notes.push(format!("{breach:?}"));
    }
    let attempts =
        || histories.iter().flat_map(|history| history.attempts.iter().map(move |s| (*history, s)));
    let silent: Vec<_> =
        attempts().filter(|(history, attempt)| is_silent(scenario, history, attempt)).collect();
    for (history, attempt) in silent.iter().take(3) {
        let reply = &attempt.reply;
        notes.push(format!(
            "no response in time: request {} got {reply:?} through {}",
            history.request.id, attempt.entry
        ));
    }
    let mut outcomes = BTreeMap::new();
    for (_, attempt) in attempts() {
        *outcomes.entry(attempt.outcome()).or_default() += 1;
    }
    if let Some(note) = scenario.is_planned().then(|| describe_cuts(&histories)).flatten() {
        notes.push(note);
    }
    let served_again = served_again(&scenario.losses, &log.probes, &runs, &mut notes);
    if !scenario.has_platform_fault() && served_again.iter().any(|time| *time > MAX_RECOVERY_MS) {
        notes.push(format!(
            "keys of a lost server were not served again within {MAX_RECOVERY_MS} ms"
        ));
    }
    let counts = Counts {
        seeds: 1,
        requests: verdict.requests,
        steps: scenario.steps,
        double_owner: (breaches.len() + regressions.len()) as u64,
        doubled: verdict.doubled,
        false_not_run: verdict.false_not_run,
        crossed: outcomes.get(&Outcome::Wrong).copied().unwrap_or_default(),
        lost_ack: scenario.lost_ack,
        reverted,
        silent: silent.len() as u64,
        victims: scenario.victims,
        served_again,
    };
    Ok(Evaluation { counts, outcomes, breaches: count_kinds(&breaches), notes })
}

/// Describes attempts that lost their connection before a complete response; `None` without any.
fn describe_cuts(histories: &[&History]) -> Option<String> {
    let attempts = histories.iter().flat_map(|history| &history.attempts);
    let count = |end| attempts.clone().filter(|attempt| attempt.reply.end == end).count();
    let (cut, broken) = (count(End::Cut), count(End::Broken));
    (cut + broken > 0)
        .then(|| format!("{cut} responses truncated, {broken} connections lost without a response"))
}

/// Returns each run whose term is lower than that of an earlier run of the same server process,
/// after the run with the highest term before it.
///
/// Such a run shows that a former holder still sent requests after its successor had begun to.
fn term_regressions(runs: &[Line]) -> Vec<(&Line, &Line)> {
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

/// Counts breaches by kind, and the runs that were still running when another server had started a
/// request for the same slice or key.
fn count_kinds(breaches: &[Breach]) -> BTreeMap<String, u64> {
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

/// Returns whether an attempt got no complete response in time although its entry was not
/// suspended.
fn is_silent(scenario: &Scenario, history: &History, attempt: &Attempt) -> bool {
    let deadline = Duration::from_millis(history.request.deadline_ms);
    let late =
        attempt.reply.latency > deadline + ANSWER_GRACE || attempt.outcome() == Outcome::Silent;
    let end = attempt.sent_at + attempt.reply.latency;
    let paused = scenario.pauses.iter().any(|pause| {
        pause.entry == attempt.entry && attempt.sent_at < pause.to && end > pause.from
    });
    late && !paused
}

/// Returns the recovery times in milliseconds: from each loss to the next verified response, for
/// each probed key that the lost servers owned.
fn served_again(
    losses: &[Loss],
    probes: &[Vec<History>],
    runs: &[Line],
    notes: &mut Vec<String>,
) -> Vec<u64> {
    let starts = runs.iter().filter(|line| line.event == Event::Start);
    let servers: BTreeMap<_, _> =
        starts.map(|line| (line.id.as_str(), line.server.as_str())).collect();
    let mut times = Vec::new();
    for loss in losses {
        for histories in probes {
            let owner = last_server(histories, loss.at, &servers);
            if !owner.is_some_and(|owner| loss.servers.iter().any(|server| server == owner)) {
                continue;
            }
            match next_answer(histories, loss.at) {
                Some(time) => times.push(time.as_millis() as u64),
                None => notes.push(format!("{} was not served again", histories[0].request.key)),
            }
        }
    }
    times
}

/// Returns the server that gave the last verified response before an instant.
fn last_server<'a>(
    histories: &[History],
    at: Instant,
    servers: &BTreeMap<&str, &'a str>,
) -> Option<&'a str> {
    let is_done = |history: &&History| {
        let last = history.attempts.last();
        last.is_some_and(|last| {
            last.outcome() == Outcome::Done && last.sent_at + last.reply.latency <= at
        })
    };
    let history = histories.iter().rev().find(is_done)?;
    servers.get(history.request.id.as_str()).copied()
}

/// Returns the time from an instant to the first verified response to an attempt sent after it.
fn next_answer(histories: &[History], at: Instant) -> Option<Duration> {
    let mut attempts = histories.iter().flat_map(|history| &history.attempts);
    let is_done = |attempt: &&Attempt| attempt.outcome() == Outcome::Done && attempt.sent_at >= at;
    let attempt = attempts.find(is_done)?;
    Some(attempt.sent_at + attempt.reply.latency - at)
}

/// Returns the reported quantile by the nearest-rank method.
fn quantile(times: &[u64]) -> Option<u64> {
    let mut times = times.to_vec();
    times.sort_unstable();
    let rank = (times.len() as f64 * QUANTILE).ceil() as usize;
    times.get(rank.checked_sub(1)?).copied()
}
