//! Loss of the server or of the lease: when either ends, every queued request is answered.

use {
    super::{Context, Holder, RETRY_SOON, Run, event::Output},
    crate::{code::Code, message::Message, model::ServerState, request::JobId},
    std::time::Duration,
};

/// Time between repetitions of a report that the records do not reflect yet.
const REPORT_INTERVAL: Duration = Duration::from_millis(500);

impl Holder {
    pub(super) fn handle_up(&mut self, cx: &mut Context<'_>, boot: u64, leaving: bool, cold: bool) {
        let lost = self.health.is_lost();
        let transition = self.health.record_up(cx.now, boot, leaving, cold);
        if transition.restarted {
            cx.out.push(Output::Log("the server restarted; its grant is sent again"));
            self.record_crash(cx);
            self.grants.regrant(true);
        } else {
            self.suspicion.confirm_alive(cx.wall);
        }
        if transition.leaving {
            cx.out.push(Output::Log("the server announced its shutdown; the controller is told"));
            self.report_leaving(cx);
        }
        if lost {
            cx.out.push(Output::Log("the server answers again; the controller is told"));
            self.grants.regrant(true);
            self.reported_at = cx.now;
            cx.out.push(Output::Report(self.back_report()));
        }
    }

    pub(super) fn handle_down(&mut self, cx: &mut Context<'_>, refused: bool) {
        self.health.record_failure(refused);
        if refused && !self.health.is_lost() {
            self.health.record_probe(cx.now);
            cx.out.push(Output::Probe);
        }
    }

    /// Marks the server as lost if it is silent or refuses connections.
    pub(super) fn check_health(&mut self, cx: &mut Context<'_>) {
        let in_flight = !self.runs.is_empty() || self.suspicion.has_unresolved();
        if self.health.is_refusing(in_flight) {
            return self.lose_server(cx, true);
        }
        if self.health.is_silent(cx.now) {
            self.lose_server(cx, false);
        }
    }

    /// Refuses the queued requests if the lease has lapsed or the server takes no new work.
    pub(super) fn check_queue(&mut self, cx: &mut Context<'_>) {
        if self.queue.is_empty() {
            return;
        }
        if cx.now >= self.lease {
            cx.out.push(Output::Count("lapsed"));
            return self.reject_queue(cx, Code::NoHolder);
        }
        if self.is_closed(cx) {
            self.reject_queue(cx, Code::Moved);
        }
    }

    /// Stops serving: the server has accepted a higher term, so another node holds it.
    pub(super) fn handle_outranked(&mut self, cx: &mut Context<'_>) {
        if std::mem::replace(&mut self.outranked, true) {
            return;
        }
        cx.out.push(Output::Log(
            "the server has accepted a higher term; queued requests are refused",
        ));
        self.reject_queue(cx, Code::NoHolder);
    }

    /// Records a request whose connection failed in flight, and probes whether the server is alive.
    pub(super) fn suspect_run(&mut self, cx: &mut Context<'_>, run: &Run) {
        if self.health.is_leaving() {
            return;
        }
        self.suspicion.record_failure(cx.wall, run.job.meta.fingerprint, run.alone);
        if run.start < self.health.restarted_at() {
            return self.record_crash(cx);
        }
        self.health.record_probe(cx.now);
        cx.out.push(Output::Probe);
    }

    pub(super) fn reject_queue(&mut self, cx: &mut Context<'_>, code: Code) {
        for id in self.queue.select_ids(|_| true) {
            self.reject(cx, id, code, RETRY_SOON);
        }
    }

    /// Aborts every running request; their outcomes are unknown.
    pub(super) fn abort_runs(&mut self, cx: &mut Context<'_>) {
        let ids: Vec<JobId> = self.runs.keys().copied().collect();
        for id in ids {
            let Some(run) = self.remove_run(cx, id) else { continue };
            if !run.aborted {
                cx.out.push(Output::Abort(id));
            }
            self.fail_run(cx, &run);
        }
    }

    /// Repeats reports that the records do not reflect yet.
    pub(super) fn repeat_reports(&mut self, cx: &mut Context<'_>) {
        if cx.now.since(self.reported_at) < REPORT_INTERVAL {
            return;
        }
        self.reported_at = cx.now;
        self.repeat_releases(cx);
        let marked = self.server.state == ServerState::Lost;
        if self.health.is_lost() && !marked {
            self.grants.release_all();
            cx.out.push(Output::Report(self.lost_report()));
        }
        if self.health.is_up() && (marked || self.grants.has_unrenewed()) {
            cx.out.push(Output::Report(self.back_report()));
        }
        if self.health.is_leaving() && self.server.state == ServerState::Active {
            self.report_leaving(cx);
        }
    }

    fn lose_server(&mut self, cx: &mut Context<'_>, refused: bool) {
        cx.out.push(Output::Log("the server is lost: it refused connections or missed probes"));
        cx.out.push(Output::Count("server_lost"));
        let planned = self.health.is_leaving();
        self.health.mark_lost();
        for run in self.runs.values().filter(|run| !run.aborted && !planned) {
            self.suspicion.record_failure(cx.wall, run.job.meta.fingerprint, run.alone);
        }
        if refused {
            self.record_crash(cx);
        }
        self.abort_runs(cx);
        self.grants.release_all();
        self.reject_queue(cx, Code::Moved);
        self.reported_at = cx.now;
        cx.out.push(Output::Report(self.lost_report()));
    }

    /// Counts a crash of the server against the requests that failed in flight. The end of a server
    /// that announced its shutdown is no crash.
    fn record_crash(&mut self, cx: &mut Context<'_>) {
        if self.health.is_leaving() {
            return self.suspicion.clear_failures();
        }
        for suspect in self.suspicion.record_crash(cx.wall) {
            cx.out.push(Output::Suspect(suspect));
        }
    }

    fn report_leaving(&mut self, cx: &mut Context<'_>) {
        let (service, server, term) = (self.service.clone(), self.id, self.term);
        cx.out.push(Output::Report(Message::ServerLeaving { service, server, term }));
    }

    fn lost_report(&self) -> Message {
        Message::ServerLost { service: self.service.clone(), server: self.id, term: self.term }
    }

    fn back_report(&self) -> Message {
        Message::ServerBack { service: self.service.clone(), server: self.id, term: self.term }
    }
}
