//! Fault injection and other actions of the cases.

use {
    super::{Drained, Loss, Pause, Scenario},
    crate::{
        driver::{Attempt, History, Request},
        faults::{CRASH_MARKER, KEYED, UNKEYED},
        fleet::{Error, status},
    },
    hyper::Method,
    rand::Rng,
    std::{
        ffi::OsStr,
        net::SocketAddr,
        time::{Duration, Instant},
    },
    tokio::time::sleep,
    whinspring_standin::{caller::Caller, runs::now_us},
};

/// Time for which a process is suspended, several times the lease duration.
const PAUSE_TIME: Duration = Duration::from_millis(2_500);

/// Duration of an outage before and after the loss injected during it.
const OUTAGE_TIME: Duration = Duration::from_millis(1_500);

/// Time for which traffic continues after a loss.
const LOSS_TIME: Duration = Duration::from_secs(2);

/// Limit on the time of a graceful stop.
const STOP_TIMEOUT: Duration = Duration::from_secs(20);

const DOWNLOAD_BYTES: u64 = 6_000_000;

/// Read rate of the download, in bytes per second.
const DOWNLOAD_PACE: u64 = 2_000_000;

/// Time for which crashing requests are sent.
const CRASH_TIME: Duration = Duration::from_secs(4);

/// Attempts of a crashing request under the same id.
const ATTEMPTS_PER_ID: usize = 4;

/// Time after which a draining server must start no requests.
const DRAIN_GRACE_US: u64 = 2_000_000;

impl Scenario {
    /// Kills the victim, and a keyed server with it if `with_server` is set.
    pub(super) async fn lose_daemon(&mut self, with_server: bool) {
        let victim = self.victim.unwrap_or_default();
        let mut servers = self.held_servers(victim).await;
        let server = self.draw_server();
        let at = Instant::now();
        self.fleet.daemons[victim].kill().await;
        self.steps += 1;
        if with_server {
            self.kill_server(server).await;
            servers.push(self.fleet.servers[server].name.clone());
        }
        self.losses.push(Loss { at, servers });
        sleep(LOSS_TIME).await;
    }

    /// Kills a random keyed server.
    pub(super) async fn lose_server(&mut self) {
        let server = self.draw_server();
        let at = Instant::now();
        self.kill_server(server).await;
        self.losses.push(Loss { at, servers: vec![self.fleet.servers[server].name.clone()] });
        sleep(LOSS_TIME).await;
    }

    /// Suspends the victim for longer than its lease.
    pub(super) async fn pause_daemon(&mut self) -> Result<(), Error> {
        let victim = self.victim.unwrap_or_default();
        let servers = self.held_servers(victim).await;
        let daemon = &self.fleet.daemons[victim];
        let (entry, from) = (daemon.caller, Instant::now());
        daemon.process.pause()?;
        sleep(PAUSE_TIME).await;
        daemon.process.resume()?;
        self.steps += 2;
        self.losses.push(Loss { at: from, servers });
        self.pauses.push(Pause { entry, from, to: Instant::now() });
        sleep(LOSS_TIME).await;
        Ok(())
    }

    /// Suspends a random keyed server until it counts as lost.
    pub(super) async fn pause_server(&mut self) -> Result<(), Error> {
        let server = self.draw_server();
        let server = &self.fleet.servers[server];
        let at = Instant::now();
        server.process.pause()?;
        sleep(PAUSE_TIME).await;
        server.process.resume()?;
        self.steps += 2;
        self.losses.push(Loss { at, servers: vec![server.name.clone()] });
        sleep(LOSS_TIME).await;
        Ok(())
    }

    /// Kills the victim during a platform outage.
    pub(super) async fn run_outage(&mut self, kind: &str) -> Result<(), Error> {
        self.fleet.set_faults(&format!(r#"{{"outage":"{kind}"}}"#)).await?;
        sleep(OUTAGE_TIME).await;
        self.lose_daemon(false).await;
        sleep(OUTAGE_TIME).await;
        self.fleet.set_faults(r#"{"outage":"off"}"#).await?;
        self.steps += 2;
        sleep(LOSS_TIME).await;
        Ok(())
    }

    /// Kills a keyed server while the platform is slow and loses replies.
    pub(super) async fn degrade_platform(&mut self) -> Result<(), Error> {
        self.fleet.set_faults(r#"{"delay_ms":150,"lose_replies":300}"#).await?;
        sleep(Duration::from_millis(500)).await;
        self.lose_server().await;
        sleep(LOSS_TIME).await;
        self.fleet.set_faults(r#"{"delay_ms":0,"lose_replies":0}"#).await?;
        self.steps += 2;
        Ok(())
    }

    /// Stops the victim gracefully while it forwards a download.
    pub(super) async fn stop_gracefully(&mut self) -> Result<(), Error> {
        let victim = self.victim.unwrap_or_default();
        let download = tokio::spawn(download(self.fleet.daemons[victim].caller));
        sleep(Duration::from_millis(300)).await;
        self.stop_daemon(victim).await?;
        if let Ok(history) = download.await {
            self.check_whole(history);
        }
        Ok(())
    }

    /// Restarts the daemons one after the other.
    pub(super) async fn restart_all(&mut self) -> Result<(), Error> {
        for victim in 0..self.fleet.daemons.len() {
            self.stop_daemon(victim).await?;
            let daemon = &mut self.fleet.daemons[victim];
            daemon.restart().await?;
            daemon.wait_ready().await?;
            self.steps += 1;
            sleep(Duration::from_millis(500)).await;
        }
        Ok(())
    }

    /// Drains a random keyed server by a confirmed plan.
    pub(super) async fn drain_server(&mut self) -> Result<(), Error> {
        let server = self.draw_server();
        let server = self.fleet.servers[server].name.clone();
        let args = ["server", "drain", KEYED, &server].map(OsStr::new);
        let commands = self.fleet.operator.change(args).await?;
        self.record_plans(&commands);
        self.record_drained(server);
        self.steps += 1;
        sleep(LOSS_TIME + LOSS_TIME / 2).await;
        Ok(())
    }

    /// Confirms two conflicting plans concurrently and checks that exactly one succeeds.
    pub(super) async fn confirm_conflicting(&mut self) -> Result<(), Error> {
        let operator = self.fleet.operator.clone();
        let names = [1, 2].map(|number| format!("{KEYED}-{number}"));
        let mut plans = Vec::new();
        for name in &names {
            let result = operator.run(["server", "drain", KEYED, name].map(OsStr::new)).await?;
            let line = result.output.lines().find_map(|line| line.trim().strip_prefix("plan "));
            let id = line.and_then(|line| line.split_whitespace().next()).unwrap_or_default();
            plans.push(id.trim_end_matches(':').to_string());
        }
        let confirm = |index: usize| {
            let (operator, plan) = (operator.clone(), plans[index].clone());
            async move { operator.run(["confirm", &plan, "--wait"].map(OsStr::new)).await }
        };
        let results: [_; 2] = tokio::join!(confirm(0), confirm(1)).into();
        self.steps += 2;
        let wins = results.iter().filter(|result| result.is_ok()).count();
        if wins != 1 {
            self.notes.push(format!(
                "expected one of two conflicting plans to succeed, got {wins}: {results:?}"
            ));
        }
        for (index, result) in results.into_iter().enumerate() {
            match result {
                Ok(result) => {
                    self.record_plans(&[result]);
                    self.record_drained(names[index].clone());
                }
                Err(Error::Operator { output, .. }) if is_conflict(&output) => {}
                Err(error) => self.notes.push(format!(
                    "failed confirmation does not name a conflict as its reason: {error}"
                )),
            }
        }
        sleep(LOSS_TIME + LOSS_TIME / 2).await;
        Ok(())
    }

    /// Sends crashing requests through every entry, and kills the victim halfway.
    pub(super) async fn send_crashing(&mut self) {
        let method = if self.seed.is_multiple_of(2) { Method::GET } else { Method::POST };
        let entries: Vec<_> = self.fleet.daemons.iter().map(|daemon| daemon.caller).collect();
        let caller = Caller::new();
        let start = Instant::now();
        while start.elapsed() < CRASH_TIME {
            let request = Request::new(method.clone(), format!("/{KEYED}/{CRASH_MARKER}"));
            let request = Request { key: "poisoned".into(), ..request };
            self.histories.push(resend(&caller, &entries, request).await);
            if start.elapsed() > CRASH_TIME / 2 && self.fleet.daemons.iter().all(|d| d.is_running())
            {
                self.lose_daemon(false).await;
            }
        }
        self.steps += 1;
    }

    /// Stalls the open connections to a random keyed server.
    pub(super) fn stall_connections(&mut self) {
        let at = Instant::now();
        let index = self.random.random_range(0..self.relays.len());
        let (name, relay) = self.relays.iter().nth(index).expect("is in range");
        relay.stall();
        self.losses.push(Loss { at, servers: vec![name.clone()] });
        self.steps += 1;
    }

    /// Stops a daemon gracefully.
    async fn stop_daemon(&mut self, victim: usize) -> Result<(), Error> {
        let daemon = &mut self.fleet.daemons[victim];
        daemon.process.terminate()?;
        self.steps += 1;
        if !daemon.process.wait_exit(STOP_TIMEOUT).await {
            self.notes
                .push(format!("{} did not exit within {STOP_TIMEOUT:?} of SIGTERM", daemon.name));
        }
        Ok(())
    }

    /// Records that a server must start no requests after the drain grace time.
    fn record_drained(&mut self, server: String) {
        self.drained.push(Drained { server, from_us: now_us() + DRAIN_GRACE_US });
    }

    /// Kills a server and records that its exit is expected.
    async fn kill_server(&mut self, server: usize) {
        let server = &mut self.fleet.servers[server];
        server.process.kill().await;
        self.killed.push(server.name.clone());
        self.steps += 1;
    }

    /// Returns the index of a random keyed server.
    fn draw_server(&mut self) -> usize {
        let keyed = self.fleet.servers_of(KEYED).len();
        self.random.random_range(0..keyed)
    }

    /// Returns the index of the controller, or of a random daemon that is not the controller.
    /// Without such a daemon, notes the failure and returns a random one.
    pub(super) async fn find_daemon(&mut self, controller: bool) -> usize {
        let first = self.random.random_range(0..self.fleet.daemons.len());
        for step in 0..self.fleet.daemons.len() {
            let index = (first + step) % self.fleet.daemons.len();
            let status = status(self.fleet.daemons[index].admin).await;
            if status.is_some_and(|status| status["controller"] == controller) {
                return index;
            }
        }
        self.notes.push("no daemon has the expected controller status; using a random one".into());
        first
    }

    /// Returns the names of the keyed servers whose holder is the given daemon.
    async fn held_servers(&self, daemon: usize) -> Vec<String> {
        let status = status(self.fleet.daemons[daemon].admin).await.unwrap_or_default();
        let held = status["held"].as_array().cloned().unwrap_or_default();
        let keyed = held.iter().filter(|held| held["service"] == KEYED);
        let numbers = keyed.filter_map(|held| held["server"].as_u64());
        let servers = self.fleet.servers_of(KEYED);
        numbers.filter_map(|number| Some(servers.get(number as usize)?.name.clone())).collect()
    }
}

/// Returns whether the output names a conflict as the reason for a failed confirmation.
fn is_conflict(output: &str) -> bool {
    ["another", "conflict", "changed"].iter().any(|word| output.contains(word))
}

/// Sends a request several times under the same id, through the entries in turn.
async fn resend(caller: &Caller, entries: &[SocketAddr], request: Request) -> History {
    let start = Instant::now();
    let mut attempts = Vec::new();
    for attempt in 0..ATTEMPTS_PER_ID {
        let entry = entries[attempt % entries.len()];
        let sent_at = Instant::now();
        let reply = caller.send(&request.call(entry, attempt + 1)).await;
        attempts.push(Attempt { entry, sent_at, reply });
        sleep(Duration::from_millis(30)).await;
    }
    History { request, attempts, elapsed: start.elapsed() }
}

/// Downloads a large body at a limited rate.
async fn download(entry: SocketAddr) -> History {
    let path = format!("/{UNKEYED}/long?bytes={DOWNLOAD_BYTES}");
    let request = Request { deadline_ms: 15_000, ..Request::new(Method::GET, path) };
    let sent_at = Instant::now();
    let call = request.call(entry, 1).read_rate(DOWNLOAD_PACE);
    let reply = Caller::new().send(&call).await;
    History {
        request,
        attempts: vec![Attempt { entry, sent_at, reply }],
        elapsed: sent_at.elapsed(),
    }
}
