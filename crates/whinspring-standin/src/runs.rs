//! Run logs of backend servers, and what they prove.
//!
//! A server writes a line before a run starts and when it ends, so that the log can be judged
//! after the process was killed. A run that started and has no end may have run in part.

use {
    serde::{Deserialize, Serialize},
    std::{
        collections::{BTreeMap, BTreeSet},
        fs::{File, OpenOptions},
        io::{self, BufRead, BufReader, Write},
        path::Path,
        time::{SystemTime, UNIX_EPOCH},
    },
};

/// What happened to a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Event {
    /// The work is about to start.
    Start,
    /// The whole answer was given to the connection.
    End,
    /// The connection closed, or the deadline passed, before the end.
    Cancel,
}

/// One line of a run log.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Line {
    /// Calendar time in microseconds since the Unix epoch.
    pub t_us: u64,
    /// Name of the server.
    pub server: String,
    /// Number the server drew at its start.
    pub boot: u64,
    /// Number of the run within this boot.
    pub run: u64,
    /// What happened.
    pub event: Event,
    /// Request id; empty if there is none.
    pub id: String,
    /// Slice of the key, if the service is keyed.
    pub slice: Option<u32>,
    /// Epoch of the slice or key.
    pub epoch: Option<u64>,
    /// Fencing term of the holder.
    pub term: Option<u64>,
    /// Path with query.
    pub path: String,
    /// Key header; empty if there is none.
    pub key: String,
    /// HTTP method.
    pub method: String,
}

/// Appends to a run log.
#[derive(Debug)]
pub struct Log {
    file: Option<File>,
}

impl Log {
    /// Opens a log for appending; without a path, nothing is written.
    pub fn open(path: Option<&Path>) -> io::Result<Self> {
        let open = |path| OpenOptions::new().append(true).create(true).open(path);
        Ok(Self { file: path.map(open).transpose()? })
    }

    /// Writes one line, which survives the death of the process.
    pub fn write(&self, line: &Line) -> io::Result<()> {
        let Some(mut file) = self.file.as_ref() else {
            return Ok(());
        };
        let mut text = serde_json::to_vec(line)?;
        text.push(b'\n');
        file.write_all(&text)
    }
}

/// Returns the calendar time in microseconds since the Unix epoch.
pub fn now_us() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    since.as_micros() as u64
}

/// Reads the lines of a log; a last line cut by the death of the process is left out.
pub fn read(path: &Path) -> io::Result<Vec<Line>> {
    let mut lines = Vec::new();
    for text in BufReader::new(File::open(path)?).lines() {
        if let Ok(line) = serde_json::from_str(&text?) {
            lines.push(line);
        }
    }
    Ok(lines)
}

/// Returns the request ids that were started more than once among `lines`.
///
/// Pass only the lines of requests that may not be repeated.
pub fn duplicate_ids<'a>(lines: impl IntoIterator<Item = &'a Line>) -> Vec<&'a str> {
    let mut starts: BTreeMap<&str, u32> = BTreeMap::new();
    for line in lines {
        if line.event == Event::Start && !line.id.is_empty() {
            *starts.entry(&line.id).or_default() += 1;
        }
    }
    starts.into_iter().filter(|(_, count)| *count > 1).map(|(id, _)| id).collect()
}

/// Returns the request ids that were started at least once.
pub fn started_ids<'a>(lines: impl IntoIterator<Item = &'a Line>) -> BTreeSet<&'a str> {
    let starts = lines.into_iter().filter(|line| line.event == Event::Start);
    starts.map(|line| line.id.as_str()).collect()
}

/// Two runs that show a slice or key under two servers at once, or going back in epochs.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Breach {
    /// The slice, with the key if the log names it.
    pub unit: Unit,
    /// Start of the earlier run.
    pub first: Line,
    /// Start of the later run.
    pub second: Line,
    /// What the two show.
    pub kind: BreachKind,
}

/// What two runs show.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BreachKind {
    /// The later run has a lower epoch.
    EpochBack,
    /// Both have the same epoch on different servers.
    EpochShared,
    /// The later run started on another server before the earlier one ended.
    Overlap,
}

/// What is owned: a key where the log names it, else a slice.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct Unit {
    /// The slice.
    pub slice: u32,
    /// The key; empty if the log does not name it.
    pub key: String,
}

/// A run put together from its lines.
struct Run<'a> {
    start: &'a Line,
    end_us: Option<u64>,
}

/// Returns the breaches of sole ownership among the lines of one service.
///
/// The lines of all its servers have to be given. A run without an end counts as ended at its
/// last sign of life: its server was killed, or the log was read while it ran.
pub fn breaches(lines: &[Line]) -> Vec<Breach> {
    let mut found = Vec::new();
    for (unit, runs) in runs_by_unit(lines) {
        let mut latest: Option<&Run<'_>> = None;
        let mut open: Vec<&Run<'_>> = Vec::new();
        for run in &runs {
            open.retain(|other| other.end_us.is_some_and(|end| end > run.start.t_us));
            let overlap = open.iter().find(|other| other.start.server != run.start.server);
            let kind = latest.and_then(|latest| compare_epochs(latest.start, run.start));
            let pair = match (overlap, kind) {
                (Some(other), _) => Some((other.start, BreachKind::Overlap)),
                (None, Some(kind)) => latest.map(|latest| (latest.start, kind)),
                (None, None) => None,
            };
            if let Some((first, kind)) = pair {
                let (first, second) = (first.clone(), run.start.clone());
                found.push(Breach { unit: unit.clone(), first, second, kind });
            }
            open.push(run);
            if latest.is_none_or(|latest| latest.start.epoch <= run.start.epoch) {
                latest = Some(run);
            }
        }
    }
    found
}

/// Compares the epochs of two runs in order of their start.
fn compare_epochs(first: &Line, second: &Line) -> Option<BreachKind> {
    if second.epoch < first.epoch {
        return Some(BreachKind::EpochBack);
    }
    let shared = second.epoch == first.epoch && second.server != first.server;
    shared.then_some(BreachKind::EpochShared)
}

/// Groups the runs by what they own, in order of their start.
fn runs_by_unit(lines: &[Line]) -> BTreeMap<Unit, Vec<Run<'_>>> {
    let mut ends = BTreeMap::new();
    for line in lines {
        if line.event != Event::Start {
            ends.insert((line.boot, line.run), line.t_us);
        }
    }
    let mut units: BTreeMap<Unit, Vec<Run<'_>>> = BTreeMap::new();
    for line in lines {
        let (Event::Start, Some(slice)) = (line.event, line.slice) else {
            continue;
        };
        let unit = Unit { slice, key: line.key.clone() };
        let end_us = ends.get(&(line.boot, line.run)).copied();
        units.entry(unit).or_default().push(Run { start: line, end_us });
    }
    for runs in units.values_mut() {
        runs.sort_by_key(|run| run.start.t_us);
    }
    units
}
