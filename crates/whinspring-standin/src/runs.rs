//! Run logs of backend servers, and checks for requests run twice and for shared ownership.
//!
//! A server writes a line before a run starts and when it ends, so that the log is usable even if
//! the process was killed. A run that started and has no end may have run in part.

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

/// Event in the life of a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Event {
    /// The run is about to start.
    Start,
    /// The complete response was handed to the connection.
    End,
    /// The connection closed, or the deadline passed, before the end.
    Cancel,
}

/// One line of a run log.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Line {
    /// Wall-clock time in microseconds since the Unix epoch.
    pub t_us: u64,
    pub server: String,
    /// Random number that identifies one start of the server process.
    pub boot: u64,
    /// Number of the run since this start of the server, from 1.
    pub run: u64,
    pub event: Event,
    /// Request id; empty if the request has none.
    pub id: String,
    /// Slice of the key; `None` if the service is not keyed.
    pub slice: Option<u32>,
    /// Epoch of the slice or key.
    pub epoch: Option<u64>,
    /// Fencing term of the holder.
    pub term: Option<u64>,
    /// Path with query.
    pub path: String,
    /// Value of the key header; empty if the request has none.
    pub key: String,
    /// HTTP method.
    pub method: String,
}

/// A run log opened for writing.
#[derive(Debug)]
pub struct Log {
    file: Option<File>,
}

impl Log {
    /// Opens a log for appending; without a path, writes are ignored.
    pub fn open(path: Option<&Path>) -> io::Result<Self> {
        let open = |path| OpenOptions::new().append(true).create(true).open(path);
        Ok(Self { file: path.map(open).transpose()? })
    }

    /// Writes one line directly to the file, so that it is kept if the process is killed.
    pub fn write(&self, line: &Line) -> io::Result<()> {
        let Some(mut file) = self.file.as_ref() else {
            return Ok(());
        };
        let mut text = serde_json::to_vec(line)?;
        text.push(b'\n');
        file.write_all(&text)
    }
}

/// Returns the wall-clock time in microseconds since the Unix epoch.
pub fn now_us() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    since.as_micros() as u64
}

/// Reads the lines of a log; a line that does not parse is skipped, such as a last line that was
/// truncated when the process was killed.
pub fn read(path: &Path) -> io::Result<Vec<Line>> {
    let mut lines = Vec::new();
    for text in BufReader::new(File::open(path)?).lines() {
        if let Ok(line) = serde_json::from_str(&text?) {
            lines.push(line);
        }
    }
    Ok(lines)
}

/// Returns the request ids of which more than one run was started.
///
/// Pass only the lines of requests that must not run twice.
pub fn duplicate_ids<'a>(lines: impl IntoIterator<Item = &'a Line>) -> Vec<&'a str> {
    let mut starts: BTreeMap<&str, u32> = BTreeMap::new();
    for line in lines {
        if line.event == Event::Start && !line.id.is_empty() {
            *starts.entry(&line.id).or_default() += 1;
        }
    }
    starts.into_iter().filter(|(_, count)| *count > 1).map(|(id, _)| id).collect()
}

/// Returns the request ids of which at least one run was started.
pub fn started_ids<'a>(lines: impl IntoIterator<Item = &'a Line>) -> BTreeSet<&'a str> {
    let starts = lines.into_iter().filter(|line| line.event == Event::Start);
    starts.map(|line| line.id.as_str()).collect()
}

/// Two runs that show a violation of exclusive ownership: of one slice or key, on two servers at
/// once or with a decreasing epoch.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Breach {
    /// The slice or key that both runs belong to.
    pub unit: Unit,
    /// Start of the earlier run.
    pub first: Line,
    /// Start of the later run.
    pub second: Line,
    pub kind: BreachKind,
}

/// Kind of a violation of exclusive ownership.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BreachKind {
    /// The later run has a lower epoch.
    EpochBack,
    /// Both runs have the same epoch, on different servers.
    EpochShared,
    /// The later run started on another server before the earlier one ended.
    Overlap,
}

/// Unit of ownership: a key if the log contains it, otherwise a slice.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct Unit {
    pub slice: u32,
    /// Empty if the log does not contain the key.
    pub key: String,
}

/// A run, from its lines in the log.
struct Run<'a> {
    start: &'a Line,
    end_us: Option<u64>,
}

/// Returns the violations of exclusive ownership among the lines of one service.
///
/// Requires the lines of all its servers. A run without an end line, whose server was killed or
/// whose log was read while it ran, counts as ended when it started.
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

/// Compares the epochs of two runs, of which `first` started first.
fn compare_epochs(first: &Line, second: &Line) -> Option<BreachKind> {
    if second.epoch < first.epoch {
        return Some(BreachKind::EpochBack);
    }
    let shared = second.epoch == first.epoch && second.server != first.server;
    shared.then_some(BreachKind::EpochShared)
}

/// Groups the runs by slice or key, ordered by start time.
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
