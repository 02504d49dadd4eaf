//! What the cases do to a deployment.

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

/// Time for which a process is paused: several times a lease.
const PAUSE_TIME: Duration = Duration::from_millis(2_500);

/// Time of an outage before and after a loss in it.
const OUTAGE_TIME: Duration = Duration::from_millis(1_500);

/// Traffic that goes on through a loss.
const LOSS_TIME: Duration = Duration::from_secs(2);

/// Longest time for a planned stop.
const STOP_TIMEOUT: Duration = Duration::from_secs(20);

/// Bytes of the long download.
const DOWNLOAD_BYTES: u64 = 6_000_000;

/// Its pace in bytes a second.
const DOWNLOAD_PACE: u64 = 2_000_000;

/// Time in which a crashing request is resent.
const CRASH_TIME: Duration = Duration::from_secs(4);

/// Sendings of a crashing request under the same id.
const ATTEMPTS_PER_ID: usize = 4;

/// Time after which a server that was told to drain gets no new work.
const DRAIN_GRACE_US: u64 = 2_000_000;

impl Scenario {
    /// Kills the victim, and a server with it if asked for.
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

    /// Kills a keyed server.
    pub(super) async fn lose_server(&mut self) {
        let server = self.draw_server();
        let at = Instant::now();
        self.kill_server(server).await;
        self.losses.push(Loss { at, servers: vec![self.fleet.servers[server].name.clone()] });
        sleep(LOSS_TIME).await;
    }

    /// Pauses the victim past its lease.
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

    /// Pauses a keyed server until it counts as lost.
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

    /// Kills a daemon in the middle of an outage of the platform.
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

    /// Kills a server while the platform is slow and loses replies.
    pub(super) async fn degrade_platform(&mut self) -> Result<(), Error> {
        self.fleet.set_faults(r#"{"delay_ms":150,"lose_replies":300}"#).await?;
        sleep(Duration::from_millis(500)).await;
        self.lose_server().await;
        sleep(LOSS_TIME).await;
        self.fleet.set_faults(r#"{"delay_ms":0,"lose_replies":0}"#).await?;
        self.steps += 2;
        Ok(())
    }

    /// Stops a daemon as planned while a download runs through it.
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

    /// Stops and starts each daemon in turn.
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

    /// Drains a keyed server by a plan.
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

    /// Has two operators confirm conflicting plans at once.
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
            self.notes.push(format!("{wins} of two conflicting plans won: {results:?}"));
        }
        for (index, result) in results.into_iter().enumerate() {
            match result {
                Ok(result) => {
                    self.record_plans(&[result]);
                    self.record_drained(names[index].clone());
                }
                Err(Error::Operator { output, .. }) if is_conflict(&output) => {}
                Err(error) => self.notes.push(format!("the loser was not told why: {error}")),
            }
        }
        sleep(LOSS_TIME + LOSS_TIME / 2).await;
        Ok(())
    }

    /// Resends a request that ends its server at every entry, and loses a daemon in between.
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

    /// Silences the open connections to a keyed server.
    pub(super) fn stall_connections(&mut self) {
        let at = Instant::now();
        let index = self.random.random_range(0..self.relays.len());
        let (name, relay) = self.relays.iter().nth(index).expect("is in range");
        relay.stall();
        self.losses.push(Loss { at, servers: vec![name.clone()] });
        self.steps += 1;
    }

    /// Stops a daemon as planned.
    async fn stop_daemon(&mut self, victim: usize) -> Result<(), Error> {
        let daemon = &mut self.fleet.daemons[victim];
        daemon.process.terminate()?;
        self.steps += 1;
        if !daemon.process.wait_exit(STOP_TIMEOUT).await {
            self.notes.push(format!("{} did not stop", daemon.name));
        }
        Ok(())
    }

    /// Notes that a server gets no new work soon.
    fn record_drained(&mut self, server: String) {
        self.drained.push(Drained { server, from_us: now_us() + DRAIN_GRACE_US });
    }

    /// Kills a server.
    async fn kill_server(&mut self, server: usize) {
        let server = &mut self.fleet.servers[server];
        server.process.kill().await;
        self.killed.push(server.name.clone());
        self.steps += 1;
    }

    /// Draws a keyed server.
    fn draw_server(&mut self) -> usize {
        let keyed = self.fleet.servers_of(KEYED).len();
        self.random.random_range(0..keyed)
    }

    /// Finds the controller, or draws another daemon.
    pub(super) async fn find_daemon(&mut self, controller: bool) -> usize {
        let first = self.random.random_range(0..self.fleet.daemons.len());
        for step in 0..self.fleet.daemons.len() {
            let index = (first + step) % self.fleet.daemons.len();
            let status = status(self.fleet.daemons[index].admin).await;
            if status.is_some_and(|status| status["controller"] == controller) {
                return index;
            }
        }
        self.notes.push("no such daemon; took another".into());
        first
    }

    /// Returns the names of the keyed servers that a daemon holds.
    async fn held_servers(&self, daemon: usize) -> Vec<String> {
        let status = status(self.fleet.daemons[daemon].admin).await.unwrap_or_default();
        let held = status["held"].as_array().cloned().unwrap_or_default();
        let keyed = held.iter().filter(|held| held["service"] == KEYED);
        let numbers = keyed.filter_map(|held| held["server"].as_u64());
        let servers = self.fleet.servers_of(KEYED);
        numbers.filter_map(|number| Some(servers.get(number as usize)?.name.clone())).collect()
    }
}

/// Returns whether the output says why a plan lost.
fn is_conflict(output: &str) -> bool {
    ["another", "conflict", "changed"].iter().any(|word| output.contains(word))
}

/// Sends a request to every entry in turn under the same id.
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

/// Downloads a long answer slowly.
async fn download(entry: SocketAddr) -> History {
    let path = format!("/{UNKEYED}/long?bytes={DOWNLOAD_BYTES}");
    let request = Request { deadline_ms: 15_000, ..Request::new(Method::GET, path) };
    let sent_at = Instant::now();
    let call = request.call(entry, 1).pace(DOWNLOAD_PACE);
    let reply = Caller::new().send(&call).await;
    History {
        request,
        attempts: vec![Attempt { entry, sent_at, reply }],
        elapsed: sent_at.elapsed(),
    }
}
