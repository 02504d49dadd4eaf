//! The deployment's keys.
//!
//! A key file holds one key a line. The first is the one that this node proves to have; the
//! others are accepted too, so that a key can be replaced node by node. The file is read again
//! while the node runs; a file that is not valid leaves the keys as they are.

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

/// Time between two readings of the key file.
const RELOAD_INTERVAL: Duration = Duration::from_secs(2);

/// The keys of the deployment, the one to use first.
pub struct Keys(ArcSwap<Vec<Vec<u8>>>);

impl Keys {
    /// Starts with these keys.
    pub fn new(keys: Vec<Vec<u8>>) -> Self {
        Self(ArcSwap::from_pointee(keys))
    }

    /// Returns the present keys.
    pub fn current(&self) -> Arc<Vec<Vec<u8>>> {
        self.0.load_full()
    }

    /// Uses other keys from now on; returns whether they differ.
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

/// Reads the keys again and again, until the process ends; ends at once without a key file.
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

/// Reads the keys again; returns whether they are valid.
pub fn reload(secret: &Secret, keys: &Keys, metrics: &Metrics, was_valid: bool) -> bool {
    match read(secret) {
        Ok(fresh) => {
            if keys.replace(fresh) {
                metrics.count("keys_replaced");
                info!("deployment keys replaced");
            }
            true
        }
        Err(error) => {
            metrics.count("keys_invalid");
            if was_valid {
                warn!("deployment keys stay as they are: {error}");
            }
            false
        }
    }
}

/// Why there is no key.
#[derive(Debug, Snafu)]
pub enum Error {
    /// The file cannot be read.
    #[snafu(display("cannot read {}: {source}; check `key_file`", file.display()))]
    Read {
        /// The file.
        file: PathBuf,
        /// The system's error.
        source: io::Error,
    },
    /// A line of the file is not a key.
    #[snafu(display(
        "{}, line {line}: not a key; write at least 32 hexadecimal digits",
        file.display()
    ))]
    Parse {
        /// The file.
        file: PathBuf,
        /// Number of the line.
        line: usize,
    },
    /// The file is empty.
    #[snafu(display("{} holds no key; write one key a line", file.display()))]
    Empty {
        /// The file.
        file: PathBuf,
    },
}

/// Returns the keys of the deployment, the one to use first.
///
/// # Errors
///
/// Returns an error if the key file cannot be read or holds no valid key.
pub fn read(secret: &Secret) -> Result<Vec<Vec<u8>>, Error> {
    match secret {
        Secret::Key(key) => Ok(vec![key.0.clone()]),
        Secret::File(file) => read_file(file),
    }
}

/// Reads a key file.
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
