//! Keys that authenticate the nodes of a deployment.
//!
//! A key file has one key per line. A node signs with the first key and accepts all of them, so
//! that a key can be rotated node by node. The file is reloaded while the node runs; if it is
//! invalid, the previous keys stay in use.

use {
    crate::metrics::Metrics,
    arc_swap::ArcSwap,
    log::{info, warn},
    snafu::{OptionExt, ResultExt, Snafu},
    std::{
        fmt::{self, Debug, Formatter},
        fs, io,
        path::PathBuf,
        sync::Arc,
        time::Duration,
    },
    tokio::time::{MissedTickBehavior, interval},
    whinspring::settings::{Key, Secret},
};

const RELOAD_INTERVAL: Duration = Duration::from_secs(2);

/// Keys of the deployment; the first one signs.
pub struct Keys(ArcSwap<Vec<Vec<u8>>>);

impl Keys {
    pub fn new(keys: Vec<Vec<u8>>) -> Self {
        Self(ArcSwap::from_pointee(keys))
    }

    pub fn current(&self) -> Arc<Vec<Vec<u8>>> {
        self.0.load_full()
    }

    /// Replaces the keys; returns whether they differ from the previous ones.
    pub fn replace(&self, keys: Vec<Vec<u8>>) -> bool {
        let differs = *self.current() != keys;
        if differs {
            self.0.store(Arc::new(keys));
        }
        differs
    }
}

impl Debug for Keys {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        f.write_str("Keys(..)")
    }
}

/// Reloads the key file periodically; returns at once if the key is set in the settings.
pub async fn watch(secret: Secret, keys: Arc<Keys>, metrics: Arc<Metrics>) {
    if !matches!(secret, Secret::File(_)) {
        return;
    }
    let mut ticks = interval(RELOAD_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut valid = true;
    loop {
        ticks.tick().await;
        valid = reload(&secret, &keys, &metrics, valid);
    }
}

/// Reloads the keys; returns whether they are valid.
///
/// An invalid file is logged only if the previous read was valid, as given by `was_valid`.
pub fn reload(secret: &Secret, keys: &Keys, metrics: &Metrics, was_valid: bool) -> bool {
    match read(secret) {
        Ok(loaded) => {
            if keys.replace(loaded) {
                metrics.count("keys_replaced");
                info!("deployment keys replaced");
            }
            true
        }
        Err(error) => {
            metrics.count("keys_invalid");
            if was_valid {
                warn!("key file is invalid, the previous deployment keys stay in use: {error}");
            }
            false
        }
    }
}

/// Error of reading the keys.
#[derive(Debug, Snafu)]
pub enum Error {
    /// The file cannot be read.
    #[snafu(display("cannot read {}: {source}; check `key_file`", file.display()))]
    Read { file: PathBuf, source: io::Error },
    /// A line of the file is not a key.
    #[snafu(display(
        "{}, line {line}: invalid key; expected at least 32 hexadecimal digits",
        file.display()
    ))]
    Parse {
        file: PathBuf,
        /// Number of the line, from 1.
        line: usize,
    },
    /// The file has no key.
    #[snafu(display("{} has no key; expected one key per line", file.display()))]
    Empty { file: PathBuf },
}

/// Reads the keys of the deployment; the first one signs.
///
/// # Errors
///
/// Fails if the key file cannot be read, has an invalid line or has no key.
pub fn read(secret: &Secret) -> Result<Vec<Vec<u8>>, Error> {
    match secret {
        Secret::Key(key) => Ok(vec![key.0.clone()]),
        Secret::File(file) => read_file(file),
    }
}

fn read_file(file: &PathBuf) -> Result<Vec<Vec<u8>>, Error> {
    let text = fs::read_to_string(file).context(ReadSnafu { file })?;
    let mut keys = Vec::new();
    for (index, line) in text.lines().enumerate() {
        if line.trim().is_empty() {
            continue;
        }
        let key = Key::parse(line).context(ParseSnafu { file, line: index + 1 })?;
        keys.push(key.0);
    }
    if keys.is_empty() {
        return EmptySnafu { file }.fail();
    }
    Ok(keys)
}
