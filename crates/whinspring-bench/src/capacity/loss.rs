//! The loss of a daemon: how soon its servers' keys are served again, and what it costs.

use {
    super::{idle::Calls, propagation::role},
    crate::fleet::{Error, Fleet},
    hyper::Method,
    rand::{Rng, SeedableRng},
    rand_chacha::ChaCha8Rng,
    serde::Serialize,
    std::time::{Duration, Instant},
    tokio::{task::JoinSet, time::sleep},
    whinspring_standin::caller::{Call, Caller},
};

/// Keys that are asked for right after the loss.
const KEYS: usize = 200;

/// Deadline of these requests, in milliseconds.
const DEADLINE_MS: &str = "5000";

/// Time left for what follows from a loss.
const SETTLE_TIME: Duration = Duration::from_secs(3);

/// Longest wait for one key.
const KEY_TIMEOUT: Duration = Duration::from_secs(10);

/// Pause after a refusal.
const RETRY_DELAY: Duration = Duration::from_millis(5);

/// What the loss of a daemon that holds servers led to.
#[derive(Debug, Clone, Serialize)]
pub struct Loss {
    /// Servers that the lost daemon held.
    pub held: usize,
    /// Whether it was the controller too.
    pub controller: bool,
    /// Time until the last key had its answer, in ms; `None` if one had none in time.
    pub served_again_ms: Option<f64>,
    /// Platform writes that followed.
    pub writes: f64,
    /// Platform reads that followed.
    pub reads: f64,
}

/// Kills a daemon that holds servers, if possible the controller, and asks for keys at once.
pub async fn measure(fleet: &mut Fleet, seed: u64) -> Result<Loss, Error> {
    let mut roles = Vec::new();
    for (index, daemon) in fleet.daemons.iter().enumerate() {
        roles.push((role(daemon).await, index));
    }
    roles.sort_by_key(|((held, controller), _)| (*held > 0, *controller, *held));
    let Some(&((held, controller), lost)) = roles.last() else {
        return Ok(Loss {
            held: 0,
            controller: false,
            served_again_ms: None,
            writes: 0.0,
            reads: 0.0,
        });
    };
    let calls = Calls::read(fleet).await?;
    fleet.daemons[lost].process.kill().await;
    let served = request_keys(fleet, lost, seed).await;
    sleep(SETTLE_TIME).await;
    let calls = Calls::read(fleet).await?.since(&calls);
    let served_again_ms = served.map(|time| time.as_secs_f64() * 1e3);
    Ok(Loss { held, controller, served_again_ms, writes: calls.writes, reads: calls.reads })
}

/// Asks the remaining daemons for many keys; returns when the last one had its answer.
async fn request_keys(fleet: &Fleet, lost: usize, seed: u64) -> Option<Duration> {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let entries = fleet.daemons.iter().enumerate().filter(|(index, _)| *index != lost);
    let entries: Vec<_> = entries.map(|(_, daemon)| daemon.caller).collect();
    let start = Instant::now();
    let mut tasks = JoinSet::new();
    for _ in 0..KEYS {
        let entry = entries[random.random_range(0..entries.len())];
        let key = format!("key-{}", random.random::<u32>());
        let call = Call::new(entry, Method::GET, "/checks/standing")
            .header("x-key", &key)
            .header("whinspring-deadline-ms", DEADLINE_MS);
        tasks.spawn(async move {
            let caller = Caller::new();
            while start.elapsed() < KEY_TIMEOUT {
                if caller.send(&call).await.is_right() {
                    return Some(start.elapsed());
                }
                sleep(RETRY_DELAY).await;
            }
            None
        });
    }
    let times = tasks.join_all().await;
    times.into_iter().try_fold(Duration::ZERO, |last, time| Some(last.max(time?)))
}
