//! One run of work: its slot and its lines in the run log.

use {
    super::request::WorkRequest,
    crate::runs::{Event, Line, Log, now_us},
    std::{
        io,
        sync::{
            Arc,
            atomic::{AtomicU64, Ordering},
        },
    },
    tokio::sync::OwnedSemaphorePermit,
};

/// What all runs of a server write to.
#[derive(Debug)]
pub(super) struct Recorder {
    /// Name of the server.
    pub(super) server: String,
    /// Number the server drew at its start.
    pub(super) boot: u64,
    log: Log,
    last_run: AtomicU64,
    started: AtomicU64,
    ended: AtomicU64,
    cancelled: AtomicU64,
}

/// Counts of runs since the start.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Counts {
    /// Runs started.
    pub(super) started: u64,
    /// Runs that ended.
    pub(super) ended: u64,
    /// Runs that were cancelled.
    pub(super) cancelled: u64,
}

/// A run in progress; cancelled when it is dropped without [`Run::end`].
#[derive(Debug)]
pub(super) struct Run {
    /// Its number.
    pub(super) number: u64,
    recorder: Arc<Recorder>,
    line: Option<Line>,
    _slot: OwnedSemaphorePermit,
}

impl Recorder {
    /// Returns a journal that writes to `log`.
    pub(super) fn new(server: String, boot: u64, log: Log) -> Self {
        let zero = AtomicU64::default;
        Self {
            server,
            boot,
            log,
            last_run: zero(),
            started: zero(),
            ended: zero(),
            cancelled: zero(),
        }
    }

    /// Returns the counts.
    pub(super) fn counts(&self) -> Counts {
        Counts {
            started: self.started.load(Ordering::Relaxed),
            ended: self.ended.load(Ordering::Relaxed),
            cancelled: self.cancelled.load(Ordering::Relaxed),
        }
    }
}

impl Run {
    /// Logs the start of a run.
    pub(super) fn start(
        recorder: Arc<Recorder>,
        request: &WorkRequest,
        slot: OwnedSemaphorePermit,
    ) -> io::Result<Self> {
        let number = recorder.last_run.fetch_add(1, Ordering::Relaxed) + 1;
        let line = Line {
            t_us: now_us(),
            server: recorder.server.clone(),
            boot: recorder.boot,
            run: number,
            event: Event::Start,
            id: request.id.clone(),
            slice: request.slice,
            epoch: request.epoch,
            term: request.term,
            path: request.path.clone(),
            key: request.key.clone(),
            method: request.method.clone(),
        };
        recorder.log.write(&line)?;
        recorder.started.fetch_add(1, Ordering::Relaxed);
        Ok(Self { number, recorder, line: Some(line), _slot: slot })
    }

    /// Logs the end of the run.
    pub(super) fn end(mut self) {
        self.recorder.ended.fetch_add(1, Ordering::Relaxed);
        self.log(Event::End);
    }

    /// Writes the last line of the run, once.
    fn log(&mut self, event: Event) {
        let Some(line) = self.line.take() else {
            return;
        };
        let _ = self.recorder.log.write(&Line { t_us: now_us(), event, ..line });
    }
}

impl Drop for Run {
    fn drop(&mut self) {
        if self.line.is_some() {
            self.recorder.cancelled.fetch_add(1, Ordering::Relaxed);
            self.log(Event::Cancel);
        }
    }
}
