//! Stores suspected requests on the platform.
//!
//! A suspicion must outlive the holder that found it. Each is written by read, merge and
//! conditional update; while the platform is down it is kept here and tried again.

use {
    rand::random,
    std::{collections::HashMap, time::Duration},
    tokio::{
        sync::mpsc,
        time::{sleep, timeout},
    },
    whinspring::{
        control::Stored,
        model::Suspect,
        record::{Key, Kind, Value},
    },
    whinspring_platform::Client,
};

/// Pause between attempts, in milliseconds.
const RETRY_MS: u64 = 200;

/// Largest number of suspicions kept while the platform is down.
const PENDING_MAX: usize = 1_024;

/// Stores each suspicion that arrives, until the channel closes.
pub async fn run(client: Client, mut arrivals: mpsc::UnboundedReceiver<Suspect>) {
    let mut pending: HashMap<u64, Suspect> = HashMap::new();
    loop {
        let pause = Duration::from_millis(if pending.is_empty() { 3_600_000 } else { RETRY_MS });
        match timeout(pause, arrivals.recv()).await {
            Ok(None) => return,
            Ok(Some(suspect)) if pending.len() < PENDING_MAX => {
                merge(&mut pending, suspect);
            }
            _ => {}
        }
        flush(&client, &mut pending).await;
    }
}

/// Adds `suspect` to what is pending.
fn merge(pending: &mut HashMap<u64, Suspect>, suspect: Suspect) {
    let print = suspect.print;
    let known = pending.remove(&print);
    pending.insert(print, merged(known, suspect));
}

/// Tries to store everything pending.
async fn flush(client: &Client, pending: &mut HashMap<u64, Suspect>) {
    let prints: Vec<u64> = pending.keys().copied().collect();
    for print in prints {
        let Some(suspect) = pending.get(&print) else { continue };
        if store(client, suspect.clone()).await {
            pending.remove(&print);
        } else {
            sleep(Duration::from_millis(RETRY_MS)).await;
        }
    }
}

/// Stores one suspicion; returns whether it is on the platform.
async fn store(client: &Client, suspect: Suspect) -> bool {
    let key = Key::new(Kind::Suspect, format!("{:016x}", suspect.print));
    let Ok(record) = client.get(&key).await else { return false };
    let expect = record.as_ref().map_or(0, |record| record.version);
    let known = record.and_then(|record| match record.value {
        Some(Value::Suspect(known)) => Some(known),
        _ => None,
    });
    if known.as_ref().is_some_and(|known| covers(known, &suspect)) {
        return true;
    }
    let value = Value::Suspect(merged(known, suspect));
    matches!(client.put(&key, expect, random(), &value).await, Stored::Written(_))
}

/// Returns whether `known` already says at least what `found` says.
fn covers(known: &Suspect, found: &Suspect) -> bool {
    known.deaths >= found.deaths && known.last_ms >= found.last_ms
}

/// Returns the worse of two suspicions of the same request.
fn merged(known: Option<Suspect>, found: Suspect) -> Suspect {
    let Some(known) = known else { return found };
    Suspect {
        print: found.print,
        deaths: known.deaths.max(found.deaths),
        last_ms: known.last_ms.max(found.last_ms),
        cleared: found.cleared,
    }
}
