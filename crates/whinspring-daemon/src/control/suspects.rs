//! Stores requests suspected of crashing servers on the platform.
//!
//! A suspicion must outlive the holder that raised it. Each is written by read, merge and
//! conditional update; while the platform is unavailable it is kept in memory and retried.

use {
    rand::random,
    std::{collections::HashMap, time::Duration},
    tokio::{
        sync::mpsc,
        time::{sleep, timeout},
    },
    whinspring::{
        control::WriteOutcome,
        model::Suspect,
        record::{Key, Kind, Value},
    },
    whinspring_platform::Platform,
    whinspring_wire::record,
};

const RETRY_MS: u64 = 200;

/// Largest number of suspicions kept while the platform is unavailable.
const MAX_PENDING: usize = 1_024;

/// Stores each suspicion that arrives, until the channel closes.
pub async fn run(client: Platform, mut arrivals: mpsc::UnboundedReceiver<Suspect>) {
    let mut pending: HashMap<u64, Suspect> = HashMap::new();
    loop {
        // With nothing pending, only an arrival needs handling.
        let pause = Duration::from_millis(if pending.is_empty() { 3_600_000 } else { RETRY_MS });
        match timeout(pause, arrivals.recv()).await {
            Ok(None) => return,
            Ok(Some(suspect)) if pending.len() < MAX_PENDING => {
                merge(&mut pending, suspect);
            }
            _ => {}
        }
        flush(&client, &mut pending).await;
    }
}

/// Merges `suspect` into the pending suspicions.
fn merge(pending: &mut HashMap<u64, Suspect>, suspect: Suspect) {
    let fingerprint = suspect.print;
    let known = pending.remove(&fingerprint);
    pending.insert(fingerprint, combine(known, suspect));
}

/// Tries to store every pending suspicion.
async fn flush(client: &Platform, pending: &mut HashMap<u64, Suspect>) {
    let fingerprints: Vec<u64> = pending.keys().copied().collect();
    for fingerprint in fingerprints {
        let Some(suspect) = pending.get(&fingerprint) else { continue };
        if store(client, suspect.clone()).await {
            pending.remove(&fingerprint);
        } else {
            sleep(Duration::from_millis(RETRY_MS)).await;
        }
    }
}

/// Stores one suspicion; returns whether the platform now has it.
async fn store(client: &Platform, suspect: Suspect) -> bool {
    let key = Key::new(Kind::Suspect, format!("{:016x}", suspect.print));
    let Ok(object) = client.get(&key).await else { return false };
    let expect = object.as_ref().map_or(0, |object| object.version);
    let known = object.and_then(|object| object.value).and_then(|bytes| decode(&bytes));
    if known.as_ref().is_some_and(|known| covers(known, &suspect)) {
        return true;
    }
    let value = record::encode(&Value::Suspect(combine(known, suspect)));
    matches!(client.put(&key, expect, random(), value).await, Ok(WriteOutcome::Written(_)))
}

/// Decodes a stored suspicion; `None` if it is malformed.
fn decode(bytes: &[u8]) -> Option<Suspect> {
    match record::decode(Kind::Suspect, bytes) {
        Ok(Value::Suspect(known)) => Some(known),
        _ => None,
    }
}

/// Returns whether `known` already includes `found`.
fn covers(known: &Suspect, found: &Suspect) -> bool {
    combine(Some(known.clone()), found.clone()) == *known
}

/// Merges a new finding into the known suspicion.
///
/// A finding without deaths means that the request completed: it resets the number of deaths.
fn combine(known: Option<Suspect>, found: Suspect) -> Suspect {
    let Some(known) = known else { return found };
    if found.last_ms < known.last_ms {
        return known;
    }
    let deaths = if found.deaths == 0 { 0 } else { known.deaths.max(found.deaths) };
    let cleared = known.cleared && known.last_ms == found.last_ms;
    Suspect { print: found.print, deaths, last_ms: found.last_ms, cleared }
}
