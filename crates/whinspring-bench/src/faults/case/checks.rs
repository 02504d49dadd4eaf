//! What must hold at the end of a case beside the counts.

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

/// Longest wait for the platform to tell the plans after a fault of it.
const PLANS_TIMEOUT: Duration = Duration::from_secs(5);

impl Scenario {
    /// Returns whether the platform is at fault.
    pub(in super::super) fn has_platform_fault(&self) -> bool {
        self.case.has_platform_fault()
    }

    /// Returns whether all that happens is planned, so that nothing may be cut.
    pub(in super::super) fn is_planned(&self) -> bool {
        matches!(self.case, Case::PlannedStop | Case::Drain | Case::Rolling | Case::Conflict)
    }

    /// Checks that every confirmed plan is there and finished.
    pub(in super::super) async fn check_plans(&mut self) {
        let end = Instant::now() + PLANS_TIMEOUT;
        let output = loop {
            match self.fleet.operator.run(["plans", "--all"].map(OsStr::new)).await {
                Ok(result) => break result.output,
                Err(error) if Instant::now() > end => {
                    self.notes.push(format!("plans cannot be listed: {error}"));
                    return;
                }
                Err(_) => sleep(Duration::from_millis(100)).await,
            }
        };
        for plan in &self.plans {
            let line = output.lines().find(|line| line.contains(plan));
            if !line.is_some_and(|line| line.contains("finished")) {
                self.lost_ack += 1;
                self.notes.push(format!("plan {plan} was confirmed and is not finished: {line:?}"));
            }
        }
    }

    /// Checks that drained servers got no new work, and counts servers that ended by themselves.
    pub(in super::super) fn check_servers(&mut self) {
        for drained in &self.drained {
            let server = self.fleet.servers.iter().find(|server| server.name == drained.server);
            let runs = server.and_then(|server| server.runs().ok()).unwrap_or_default();
            let is_late = |line: &&Line| line.event == Event::Start && line.t_us > drained.from_us;
            if let Some(line) = runs.iter().rfind(is_late) {
                self.notes.push(format!("{} got new work: {line:?}", drained.server));
            }
        }
        for server in &mut self.fleet.servers {
            if !server.process.has_exited() || self.killed.contains(&server.name) {
                continue;
            }
            self.victims += 1;
            if self.case != Case::Crashing {
                self.notes.push(format!("{} ended by itself", server.name));
            }
        }
        let keyed = self.fleet.servers_of(KEYED).len() as u64;
        if self.case == Case::Crashing && (self.victims == 0 || self.victims == keyed) {
            self.notes.push(format!("{} of {keyed} servers ended by the request", self.victims));
        }
    }

    /// Checks that a download came whole.
    pub(super) fn check_whole(&mut self, history: History) {
        if history.outcome() != Outcome::Done {
            self.notes.push(format!("the download was cut: {:?}", history.attempts));
        }
        self.histories.push(history);
    }
}
