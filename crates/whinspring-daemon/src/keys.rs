//! The deployment's keys.
//!
//! A key file holds one key a line. The first is the one that this node proves to have; the
//! others are accepted too, so that a key can be replaced node by node.

use {
    snafu::{OptionExt, ResultExt, Snafu},
    std::{fs, io, path::PathBuf},
    whinspring::settings::{Key, Secret},
};

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
