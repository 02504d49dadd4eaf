//! A fake backend server on a simulated clock.

use {
    std::collections::{BTreeMap, BTreeSet},
    whinspring::{
        holder::{Input, Output},
        request::{JobId, Meta},
        time::Tick,
    },
};

#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Execution {
    pub job: JobId,
    pub id: String,
    pub fingerprint: u64,
}

/// A backend server that runs what it is sent.
#[derive(Debug)]
pub struct FakeServer {
    pub up: bool,
    pub frozen: bool,
    pub leaving: bool,
    pub boot: u64,
    pub term: u64,
    /// Service time in milliseconds, and that of single fingerprints.
    pub service_ms: u64,
    pub slow: BTreeMap<u64, u64>,
    /// Fingerprints that crash the server.
    pub crashing: BTreeSet<u64>,
    pub restart_ms: Option<u64>,
    pub log: Vec<Execution>,
    pub crashes: u32,
    pub max_active: usize,
    active: BTreeMap<JobId, (u64, Meta)>,
    replies: BTreeMap<(u64, u64), Input>,
    restart_at: Option<u64>,
    seq: u64,
}

impl Default for FakeServer {
    fn default() -> Self {
        Self {
            up: true,
            frozen: false,
            leaving: false,
            boot: 1,
            term: 0,
            service_ms: 10,
            slow: BTreeMap::new(),
            crashing: BTreeSet::new(),
            restart_ms: Some(50),
            log: Vec::new(),
            crashes: 0,
            max_active: 0,
            active: BTreeMap::new(),
            replies: BTreeMap::new(),
            restart_at: None,
            seq: 0,
        }
    }
}

impl FakeServer {
    /// Carries out an output of the holder.
    pub fn apply(&mut self, ms: u64, output: &Output, metas: &BTreeMap<JobId, Meta>) {
        match output {
            Output::Start { job, term, until, .. } => {
                assert!(Tick::from_millis(ms) < *until, "{job:?} started after {until:?}");
                self.start(ms, *job, *term, &metas[job]);
            }
            Output::Abort(job) if self.active.remove(job).is_some() => {
                self.reply(ms + 1, Input::Failed { job: *job, sent: true });
            }
            Output::Grant { number, term, .. } => self.grant(ms, *number, *term),
            Output::Probe if !self.up => self.reply(ms + 1, Input::Down { refused: true }),
            Output::Probe => self.answer(ms + 5, 0),
            _ => {}
        }
    }

    /// Returns the inputs for the holder that are due.
    pub fn advance(&mut self, ms: u64) -> Vec<Input> {
        if self.restart_at.is_some_and(|at| at <= ms) {
            self.restart_at = None;
            self.up = true;
        }
        if !self.frozen {
            self.finish(ms);
        }
        let later = self.replies.split_off(&(ms + 1, 0));
        std::mem::replace(&mut self.replies, later).into_values().collect()
    }

    /// Crashes the process and fails its running requests.
    pub fn crash(&mut self, ms: u64) {
        self.up = false;
        self.boot += 1;
        self.term = 0;
        self.restart_at = self.restart_ms.map(|wait| ms + wait);
        self.replies.retain(|_, input| !matches!(input, Input::Up { .. }));
        for (job, _) in std::mem::take(&mut self.active) {
            self.reply(ms + 1, Input::Failed { job, sent: true });
        }
    }

    /// Breaks the connections of the running requests, which continue unobserved.
    pub fn drop_connections(&mut self, ms: u64) {
        for (job, _) in std::mem::take(&mut self.active) {
            self.reply(ms + 1, Input::Failed { job, sent: true });
        }
    }

    /// Drops the connections of a lost holder: nobody learns how its requests end.
    pub fn disconnect(&mut self) {
        self.active.clear();
        self.replies.clear();
    }

    fn start(&mut self, ms: u64, job: JobId, term: u64, meta: &Meta) {
        if !self.up {
            self.reply(ms + 1, Input::Failed { job, sent: false });
            return self.reply(ms + 1, Input::Down { refused: true });
        }
        if term != self.term {
            return self.reply(ms + 1, Input::Fenced(job));
        }
        self.log.push(Execution { job, id: meta.id.to_string(), fingerprint: meta.fingerprint });
        let crashing = self.crashing.contains(&meta.fingerprint);
        let took = self.slow.get(&meta.fingerprint).copied().unwrap_or(self.service_ms);
        let took = if crashing { 3 } else { took };
        self.active.insert(job, (ms + took, meta.clone()));
        self.max_active = self.max_active.max(self.active.len());
    }

    fn grant(&mut self, ms: u64, number: u64, term: u64) {
        if !self.up {
            return self.reply(ms + 1, Input::Down { refused: true });
        }
        if term < self.term {
            return self.reply(ms + 2, Input::Outranked);
        }
        if !self.frozen {
            self.term = term;
            self.answer(ms + 2, number);
        }
    }

    fn answer(&mut self, at: u64, grant: u64) {
        if self.frozen {
            return;
        }
        let (boot, term, leaving) = (self.boot, self.term, self.leaving);
        self.reply(at, Input::Up { grant, boot, term, leaving, cold: false });
    }

    fn finish(&mut self, ms: u64) {
        let done = self.active.iter().filter(|(_, (end, _))| *end <= ms);
        let done: Vec<JobId> = done.map(|(job, _)| *job).collect();
        for job in done {
            let Some((_, meta)) = self.active.remove(&job) else { continue };
            if self.crashing.contains(&meta.fingerprint) {
                self.active.insert(job, (ms, meta));
                self.crashes += 1;
                return self.crash(ms);
            }
            let answer = Some(format!("answer to {}", meta.id).into());
            self.reply(ms, Input::Answered { job, answer });
        }
    }

    fn reply(&mut self, at: u64, input: Input) {
        self.seq += 1;
        self.replies.insert((at, self.seq), input);
    }
}
