//! A run of a request: its slot and its lines in the run log.

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

/// Writes the run log of a server and counts its runs.
#[derive(Debug)]
pub(super) struct Recorder {
    pub(super) server: String,
    /// Random number that identifies one start of the server process.
    pub(super) boot: u64,
    log: Log,
    last_run: AtomicU64,
    started: AtomicU64,
    ended: AtomicU64,
    cancelled: AtomicU64,
}

/// Number of runs since the start of the server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Counts {
    pub(super) started: u64,
    pub(super) ended: u64,
    pub(super) cancelled: u64,
}

/// A run in progress; dropping it without [`Run::end`] records a cancellation.
#[derive(Debug)]
pub(super) struct Run {
    /// Number of the run since the start of the server, from 1.
    pub(super) number: u64,
    recorder: Arc<Recorder>,
    line: Option<Line>,
    _slot: OwnedSemaphorePermit,
}

impl Recorder {
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

    pub(super) fn counts(&self) -> Counts {
        Counts {
            started: self.started.load(Ordering::Relaxed),
            ended: self.ended.load(Ordering::Relaxed),
            cancelled: self.cancelled.load(Ordering::Relaxed),
        }
    }
}

impl Run {
    /// Logs the start of a run before any work is done.
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

    pub(super) fn end(mut self) {
        self.recorder.ended.fetch_add(1, Ordering::Relaxed);
        self.log(Event::End);
    }

    /// Writes the last line of the run; later calls do nothing.
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
