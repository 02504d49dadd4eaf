//! Checks at the end of a case that the counts do not cover.

use {
    super::{Case, Scenario},
    crate::{
        driver::{History, Outcome},
        faults::KEYED,
    },
    std::{
        ffi::OsStr,
        time::{Duration, Instant},
    },
    tokio::time::sleep,
    whinspring_standin::runs::{Event, Line},
};

/// Limit on the time until plans can be listed again after a platform fault.
const PLANS_TIMEOUT: Duration = Duration::from_secs(5);

impl Scenario {
    /// Returns whether the case injects faults of the platform.
    pub(in super::super) fn has_platform_fault(&self) -> bool {
        self.case.has_platform_fault()
    }

    /// Returns whether all events of the case are planned, so that no response may be truncated.
    pub(in super::super) fn is_planned(&self) -> bool {
        matches!(self.case, Case::PlannedStop | Case::Drain | Case::Rolling | Case::Conflict)
    }

    /// Checks that every confirmed plan is listed as finished.
    pub(in super::super) async fn check_plans(&mut self) {
        let end = Instant::now() + PLANS_TIMEOUT;
        let output = loop {
            match self.fleet.operator.run(["plans", "--all"].map(OsStr::new)).await {
                Ok(result) => break result.output,
                Err(error) if Instant::now() > end => {
                    self.notes.push(format!("cannot list plans after the fault: {error}"));
                    return;
                }
                Err(_) => sleep(Duration::from_millis(100)).await,
            }
        };
        for plan in &self.plans {
            let line = output.lines().find(|line| line.contains(plan));
            if !line.is_some_and(|line| line.contains("finished")) {
                self.lost_ack += 1;
                self.notes
                    .push(format!("expected confirmed plan {plan} to be finished, got {line:?}"));
            }
        }
    }

    /// Checks that drained servers started no requests, and counts the servers that exited without
    /// being killed.
    pub(in super::super) fn check_servers(&mut self) {
        for drained in &self.drained {
            let server = self.fleet.servers.iter().find(|server| server.name == drained.server);
            let runs = server.and_then(|server| server.runs().ok()).unwrap_or_default();
            let is_late = |line: &&Line| line.event == Event::Start && line.t_us > drained.from_us;
            if let Some(line) = runs.iter().rfind(is_late) {
                self.notes
                    .push(format!("{} started a request while draining: {line:?}", drained.server));
            }
        }
        for server in &mut self.fleet.servers {
            if !server.process.has_exited() || self.killed.contains(&server.name) {
                continue;
            }
            self.victims += 1;
            if self.case != Case::Crashing {
                self.notes.push(format!("{} exited without being killed", server.name));
            }
        }
        let keyed = self.fleet.servers_of(KEYED).len() as u64;
        if self.case == Case::Crashing && (self.victims == 0 || self.victims == keyed) {
            self.notes.push(format!("{} of {keyed} servers crashed by the request", self.victims));
        }
    }

    /// Checks that a download was complete, and records it.
    pub(super) fn check_whole(&mut self, history: History) {
        if history.outcome() != Outcome::Done {
            self.notes.push(format!("download truncated: {:?}", history.attempts));
        }
        self.histories.push(history);
    }
}
