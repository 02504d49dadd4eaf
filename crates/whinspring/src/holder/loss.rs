//! The server's life and the holder's lease: when either ends, all that waits gets its answer.

use {
    super::{Context, Holder, RETRY_SOON, Run, event::Output},
    crate::{code::Code, message::Message, model::ServerState, request::JobId},
    std::time::Duration,
};

/// Time after which a report that changed nothing is repeated.
const REPEAT: Duration = Duration::from_millis(500);

impl Holder {
    /// A probe or grant was answered.
    pub(super) fn up(&mut self, cx: &mut Context<'_>, boot: u64, leaving: bool, cold: bool) {
        let lost = self.life.is_lost();
        let sign = self.life.up(cx.now, boot, leaving, cold);
        if sign.restarted {
            cx.out.push(Output::Log("the server restarted"));
            self.blame(cx);
            self.grants.regrant(true);
        } else {
            self.suspicion.alive(cx.wall);
        }
        if sign.leaving {
            cx.out.push(Output::Log("the server announced its stop"));
            self.report_leaving(cx);
        }
        if lost {
            cx.out.push(Output::Log("the server answers again"));
            self.grants.regrant(true);
            self.reported = cx.now;
            cx.out.push(Output::Report(self.back()));
        }
    }

    /// A probe, grant or connection attempt failed.
    pub(super) fn down(&mut self, cx: &mut Context<'_>, refused: bool) {
        self.life.down(refused);
        if refused && !self.life.is_lost() {
            self.life.probe(cx.now);
            cx.out.push(Output::Probe);
        }
    }

    /// Gives the server up if it is silent or refuses connections.
    pub(super) fn check_life(&mut self, cx: &mut Context<'_>) {
        let work = !self.runs.is_empty() || self.suspicion.in_doubt();
        if self.life.is_refusing(work) {
            return self.lose_server(cx, true);
        }
        if self.life.is_silent(cx.now) {
            self.lose_server(cx, false);
        }
    }

    /// Refuses what waits if the lease has lapsed or the server takes no new work.
    pub(super) fn check_queue(&mut self, cx: &mut Context<'_>) {
        if self.queue.is_empty() {
            return;
        }
        if cx.now >= self.lease {
            cx.out.push(Output::Count("lapsed"));
            return self.drop_queue(cx, Code::NoHolder);
        }
        if self.is_closed(cx) {
            self.drop_queue(cx, Code::Moved);
        }
    }

    /// The server has seen a higher term: another node holds it.
    pub(super) fn outrank(&mut self, cx: &mut Context<'_>) {
        if std::mem::replace(&mut self.outranked, true) {
            return;
        }
        cx.out.push(Output::Log("the server has accepted a higher term"));
        self.drop_queue(cx, Code::NoHolder);
    }

    /// A connection failed with a request in flight: asks the server whether it lives.
    pub(super) fn doubt(&mut self, cx: &mut Context<'_>, run: &Run) {
        if self.life.is_leaving() {
            return;
        }
        self.suspicion.doubt(cx.wall, run.job.meta.print, run.alone);
        if run.start < self.life.restart() {
            return self.blame(cx);
        }
        self.life.probe(cx.now);
        cx.out.push(Output::Probe);
    }

    /// Refuses everything that waits.
    pub(super) fn drop_queue(&mut self, cx: &mut Context<'_>, code: Code) {
        for id in self.queue.select(|_| true) {
            self.reject(cx, id, code, RETRY_SOON);
        }
    }

    /// Gives up everything that runs.
    pub(super) fn drop_runs(&mut self, cx: &mut Context<'_>) {
        let ids: Vec<JobId> = self.runs.keys().copied().collect();
        for id in ids {
            let Some(run) = self.end(cx, id) else { continue };
            if !run.aborted {
                cx.out.push(Output::Abort(id));
            }
            self.lose_run(cx, &run);
        }
    }

    /// Repeats reports that the records do not reflect yet.
    pub(super) fn repeat_reports(&mut self, cx: &mut Context<'_>) {
        if cx.now.since(self.reported) < REPEAT {
            return;
        }
        self.reported = cx.now;
        self.repeat_releases(cx);
        let marked = self.server.state == ServerState::Lost;
        if self.life.is_lost() && !marked {
            self.grants.lose();
            cx.out.push(Output::Report(self.lost()));
        }
        if self.life.is_up() && (marked || self.grants.has_lost()) {
            cx.out.push(Output::Report(self.back()));
        }
        if self.life.is_leaving() && self.server.state == ServerState::Active {
            self.report_leaving(cx);
        }
    }

    fn lose_server(&mut self, cx: &mut Context<'_>, refused: bool) {
        cx.out.push(Output::Log("the server is lost"));
        cx.out.push(Output::Count("server_lost"));
        let planned = self.life.is_leaving();
        self.life.lose();
        for run in self.runs.values().filter(|run| !run.aborted && !planned) {
            self.suspicion.doubt(cx.wall, run.job.meta.print, run.alone);
        }
        if refused {
            self.blame(cx);
        }
        self.drop_runs(cx);
        self.grants.lose();
        self.drop_queue(cx, Code::Moved);
        self.reported = cx.now;
        cx.out.push(Output::Report(self.lost()));
    }

    /// Counts the server's death against the requests in doubt.
    fn blame(&mut self, cx: &mut Context<'_>) {
        if self.life.is_leaving() {
            return self.suspicion.forgive();
        }
        for suspect in self.suspicion.died(cx.wall) {
            cx.out.push(Output::Suspect(suspect));
        }
    }

    fn report_leaving(&mut self, cx: &mut Context<'_>) {
        let (service, server, term) = (self.service.clone(), self.id, self.term);
        cx.out.push(Output::Report(Message::ServerLeaving { service, server, term }));
    }

    fn lost(&self) -> Message {
        Message::ServerLost { service: self.service.clone(), server: self.id, term: self.term }
    }

    fn back(&self) -> Message {
        Message::ServerBack { service: self.service.clone(), server: self.id, term: self.term }
    }
}
