//! Loss of a daemon: recovery time of the keys of its servers, and the platform calls it causes.

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

/// Number of keys requested right after the loss.
const KEYS: usize = 200;

const DEADLINE_MS: &str = "5000";

/// Time for the platform calls that follow a loss.
const SETTLE_TIME: Duration = Duration::from_secs(3);

/// Limit on the time until a key is served.
const KEY_TIMEOUT: Duration = Duration::from_secs(10);

/// Delay before a failed request is retried.
const RETRY_DELAY: Duration = Duration::from_millis(5);

/// Effects of the loss of a daemon that holds servers.
#[derive(Debug, Clone, Serialize)]
pub struct Loss {
    /// Number of servers held by the lost daemon.
    pub held: usize,
    /// Whether the lost daemon was the controller.
    pub controller: bool,
    /// Time until the last key was served, in ms; `None` if a key was not served in time.
    pub served_again_ms: Option<f64>,
    /// Platform writes after the loss.
    pub writes: f64,
    /// Platform reads after the loss.
    pub reads: f64,
}

/// Kills a daemon that holds servers, preferably the controller, and requests keys at once.
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

/// Requests random keys through the remaining daemons; returns the time until the last was served.
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
