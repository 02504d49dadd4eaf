//! What the cases do to a deployment.

use {
    super::{Drained, Frozen, Loss, Scene},
    crate::{
        driver::{Request, Sending, Story},
        faults::{CRASH, KEYED, UNKEYED},
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
const FREEZE: Duration = Duration::from_millis(2_500);

/// Time of an outage before and after a loss in it.
const OUTAGE: Duration = Duration::from_millis(1_500);

/// Traffic that goes on through a loss.
const THROUGH: Duration = Duration::from_secs(2);

/// Longest time for a planned stop.
const STOP_TIMEOUT: Duration = Duration::from_secs(20);

/// Bytes of the long download.
const DOWNLOAD_BYTES: u64 = 6_000_000;

/// Its pace in bytes a second.
const DOWNLOAD_PACE: u64 = 2_000_000;

/// Time in which a crashing request is resent.
const CRASHING: Duration = Duration::from_secs(4);

/// Sendings of a crashing request under the same id.
const SAME_ID: usize = 4;

/// Time after which a server that was told to drain gets no new work.
const NO_NEW_US: u64 = 2_000_000;

impl Scene {
    /// Kills the victim, and a server with it if asked for.
    pub(super) async fn lose_daemon(&mut self, with_server: bool) {
        let victim = self.victim.unwrap_or_default();
        let mut servers = self.held(victim).await;
        let server = self.server();
        let at = Instant::now();
        self.fleet.daemons[victim].kill().await;
        self.steps += 1;
        if with_server {
            self.kill_server(server).await;
            servers.push(self.fleet.servers[server].name.clone());
        }
        self.losses.push(Loss { at, servers });
        sleep(THROUGH).await;
    }

    /// Kills a keyed server.
    pub(super) async fn lose_server(&mut self) {
        let server = self.server();
        let at = Instant::now();
        self.kill_server(server).await;
        self.losses.push(Loss { at, servers: vec![self.fleet.servers[server].name.clone()] });
        sleep(THROUGH).await;
    }

    /// Pauses the victim past its lease.
    pub(super) async fn freeze_daemon(&mut self) -> Result<(), Error> {
        let victim = self.victim.unwrap_or_default();
        let servers = self.held(victim).await;
        let daemon = &self.fleet.daemons[victim];
        let (entry, from) = (daemon.caller, Instant::now());
        daemon.process.freeze()?;
        sleep(FREEZE).await;
        daemon.process.thaw()?;
        self.steps += 2;
        self.losses.push(Loss { at: from, servers });
        self.frozen.push(Frozen { entry, from, to: Instant::now() });
        sleep(THROUGH).await;
        Ok(())
    }

    /// Pauses a keyed server until it counts as lost.
    pub(super) async fn freeze_server(&mut self) -> Result<(), Error> {
        let server = self.server();
        let server = &self.fleet.servers[server];
        let at = Instant::now();
        server.process.freeze()?;
        sleep(FREEZE).await;
        server.process.thaw()?;
        self.steps += 2;
        self.losses.push(Loss { at, servers: vec![server.name.clone()] });
        sleep(THROUGH).await;
        Ok(())
    }

    /// Kills a daemon in the middle of an outage of the platform.
    pub(super) async fn outage(&mut self, kind: &str) -> Result<(), Error> {
        self.fleet.set_faults(&format!(r#"{{"outage":"{kind}"}}"#)).await?;
        sleep(OUTAGE).await;
        self.lose_daemon(false).await;
        sleep(OUTAGE).await;
        self.fleet.set_faults(r#"{"outage":"off"}"#).await?;
        self.steps += 2;
        sleep(THROUGH).await;
        Ok(())
    }

    /// Kills a server while the platform is slow and loses replies.
    pub(super) async fn lossy(&mut self) -> Result<(), Error> {
        self.fleet.set_faults(r#"{"delay_ms":150,"lose_replies":300}"#).await?;
        sleep(Duration::from_millis(500)).await;
        self.lose_server().await;
        sleep(THROUGH).await;
        self.fleet.set_faults(r#"{"delay_ms":0,"lose_replies":0}"#).await?;
        self.steps += 2;
        Ok(())
    }

    /// Stops a daemon as planned while a download runs through it.
    pub(super) async fn planned_stop(&mut self) -> Result<(), Error> {
        let victim = self.victim.unwrap_or_default();
        let download = tokio::spawn(download(self.fleet.daemons[victim].caller));
        sleep(Duration::from_millis(300)).await;
        self.stop(victim).await?;
        if let Ok(story) = download.await {
            self.check_whole(story);
        }
        Ok(())
    }

    /// Stops and starts each daemon in turn.
    pub(super) async fn replace_all(&mut self) -> Result<(), Error> {
        for victim in 0..self.fleet.daemons.len() {
            self.stop(victim).await?;
            let daemon = &mut self.fleet.daemons[victim];
            daemon.restart().await?;
            daemon.ready().await?;
            self.steps += 1;
            sleep(Duration::from_millis(500)).await;
        }
        Ok(())
    }

    /// Drains a keyed server by a plan.
    pub(super) async fn drain(&mut self) -> Result<(), Error> {
        let server = self.server();
        let server = self.fleet.servers[server].name.clone();
        let args = ["server", "drain", KEYED, &server].map(OsStr::new);
        let said = self.fleet.operator.change(args).await?;
        self.confirmed(&said);
        self.drained(server);
        self.steps += 1;
        sleep(THROUGH + THROUGH / 2).await;
        Ok(())
    }

    /// Has two operators confirm conflicting plans at once.
    pub(super) async fn conflict(&mut self) -> Result<(), Error> {
        let operator = self.fleet.operator.clone();
        let names = [1, 2].map(|number| format!("{KEYED}-{number}"));
        let mut plans = Vec::new();
        for name in &names {
            let said = operator.run(["server", "drain", KEYED, name].map(OsStr::new)).await?;
            let line = said.output.lines().find_map(|line| line.trim().strip_prefix("plan "));
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
                Ok(said) => {
                    self.confirmed(&[said]);
                    self.drained(names[index].clone());
                }
                Err(Error::Operator { output, .. }) if is_reason(&output) => {}
                Err(error) => self.notes.push(format!("the loser was not told why: {error}")),
            }
        }
        sleep(THROUGH + THROUGH / 2).await;
        Ok(())
    }

    /// Resends a request that ends its server at every entry, and loses a daemon in between.
    pub(super) async fn crash(&mut self) {
        let method = if self.seed.is_multiple_of(2) { Method::GET } else { Method::POST };
        let entries: Vec<_> = self.fleet.daemons.iter().map(|daemon| daemon.caller).collect();
        let caller = Caller::new();
        let start = Instant::now();
        while start.elapsed() < CRASHING {
            let request = Request::new(method.clone(), format!("/{KEYED}/{CRASH}"));
            let request = Request { key: "poisoned".into(), ..request };
            self.stories.push(resend(&caller, &entries, request).await);
            if start.elapsed() > CRASHING / 2 && self.fleet.daemons.iter().all(|d| d.is_running()) {
                self.lose_daemon(false).await;
            }
        }
        self.steps += 1;
    }

    /// Silences the open connections to a keyed server.
    pub(super) fn silence(&mut self) {
        let at = Instant::now();
        let index = self.random.random_range(0..self.relays.len());
        let (name, relay) = self.relays.iter().nth(index).expect("is in range");
        relay.stall();
        self.losses.push(Loss { at, servers: vec![name.clone()] });
        self.steps += 1;
    }

    /// Stops a daemon as planned.
    async fn stop(&mut self, victim: usize) -> Result<(), Error> {
        let daemon = &mut self.fleet.daemons[victim];
        daemon.process.terminate()?;
        self.steps += 1;
        if !daemon.process.ends_within(STOP_TIMEOUT).await {
            self.notes.push(format!("{} did not stop", daemon.name));
        }
        Ok(())
    }

    /// Notes that a server gets no new work soon.
    fn drained(&mut self, server: String) {
        self.drained.push(Drained { server, from_us: now_us() + NO_NEW_US });
    }

    /// Kills a server.
    async fn kill_server(&mut self, server: usize) {
        let server = &mut self.fleet.servers[server];
        server.process.kill().await;
        self.dead.push(server.name.clone());
        self.steps += 1;
    }

    /// Draws a keyed server.
    fn server(&mut self) -> usize {
        let keyed = self.fleet.servers_of(KEYED).len();
        self.random.random_range(0..keyed)
    }

    /// Finds the controller, or draws another daemon.
    pub(super) async fn daemon(&mut self, controller: bool) -> usize {
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
    async fn held(&self, daemon: usize) -> Vec<String> {
        let status = status(self.fleet.daemons[daemon].admin).await.unwrap_or_default();
        let held = status["held"].as_array().cloned().unwrap_or_default();
        let keyed = held.iter().filter(|held| held["service"] == KEYED);
        let numbers = keyed.filter_map(|held| held["server"].as_u64());
        let servers = self.fleet.servers_of(KEYED);
        numbers.filter_map(|number| Some(servers.get(number as usize)?.name.clone())).collect()
    }
}

/// Returns whether the output says why a plan lost.
fn is_reason(output: &str) -> bool {
    ["another", "conflict", "changed"].iter().any(|word| output.contains(word))
}

/// Sends a request to every entry in turn under the same id.
async fn resend(caller: &Caller, entries: &[SocketAddr], request: Request) -> Story {
    let start = Instant::now();
    let mut sendings = Vec::new();
    for attempt in 0..SAME_ID {
        let entry = entries[attempt % entries.len()];
        let began = Instant::now();
        let reply = caller.send(&request.call(entry, attempt + 1)).await;
        sendings.push(Sending { entry, began, reply });
        sleep(Duration::from_millis(30)).await;
    }
    Story { request, sendings, took: start.elapsed() }
}

/// Downloads a long answer slowly.
async fn download(entry: SocketAddr) -> Story {
    let path = format!("/{UNKEYED}/long?bytes={DOWNLOAD_BYTES}");
    let request = Request { deadline_ms: 15_000, ..Request::new(Method::GET, path) };
    let began = Instant::now();
    let call = request.call(entry, 1).read_rate(DOWNLOAD_PACE);
    let reply = Caller::new().send(&call).await;
    Story { request, sendings: vec![Sending { entry, began, reply }], took: began.elapsed() }
}
