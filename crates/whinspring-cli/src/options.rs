//! Addresses of the platform and the nodes, from the command line, the environment or a file.

use {
    crate::error::{
        Error, InvalidFileSnafu, InvalidVariableSnafu, NoNodeSnafu, NoPlatformSnafu,
        UnreadableSnafu,
    },
    clap::ArgMatches,
    snafu::{OptionExt, ResultExt, ensure},
    std::{
        fs,
        net::SocketAddr,
        path::{Path, PathBuf},
    },
    whinspring::{
        ini::{self, Fault, Reader},
        settings::parse_platform,
    },
};

/// Environment variable with the platform's address.
pub const PLATFORM_VARIABLE: &str = "WHINSPRING_PLATFORM";

/// Environment variable with the admin ports of nodes.
pub const NODE_VARIABLE: &str = "WHINSPRING_NODE";

/// Addresses of the platform and the nodes.
#[derive(Debug, Default, Clone, PartialEq, Eq)]
pub struct Options {
    /// Address of the platform's object API.
    platform: Option<SocketAddr>,
    /// Admin ports of nodes.
    nodes: Vec<SocketAddr>,
}

impl Options {
    /// Reads the options. A flag takes precedence over an environment variable, and that over the
    /// file.
    ///
    /// `variable` returns the value of an environment variable.
    ///
    /// # Errors
    ///
    /// Fails if a variable is invalid, or the file is unreadable or invalid.
    pub fn read(
        matches: &ArgMatches,
        variable: impl Fn(&str) -> Option<String>,
    ) -> Result<Self, Error> {
        let mut options = match matches.get_one::<PathBuf>("config") {
            Some(path) => read_file(path)?,
            None => Self::default(),
        };
        if let Some(value) = variable(PLATFORM_VARIABLE) {
            let addr = parse_platform(&value);
            let invalid = InvalidVariableSnafu { variable: PLATFORM_VARIABLE, value };
            options.platform = Some(addr.context(invalid)?);
        }
        if let Some(value) = variable(NODE_VARIABLE) {
            let nodes = parse_nodes(&value);
            options.nodes =
                nodes.context(InvalidVariableSnafu { variable: NODE_VARIABLE, value })?;
        }
        if let Some(addr) = matches.get_one("platform") {
            options.platform = Some(*addr);
        }
        if let Some(nodes) = matches.get_many("node") {
            options.nodes = nodes.copied().collect();
        }
        Ok(options)
    }

    /// Returns the platform's address; fails if none is given.
    pub fn platform(&self) -> Result<SocketAddr, Error> {
        self.platform.context(NoPlatformSnafu)
    }

    /// Returns the admin ports of nodes; fails if none is given.
    pub fn nodes(&self) -> Result<&[SocketAddr], Error> {
        ensure!(!self.nodes.is_empty(), NoNodeSnafu);
        Ok(&self.nodes)
    }

    /// Returns the admin ports of nodes, possibly none.
    pub fn known_nodes(&self) -> &[SocketAddr] {
        &self.nodes
    }
}

/// Reads the client's configuration file.
fn read_file(path: &Path) -> Result<Options, Error> {
    let text = fs::read_to_string(path).context(UnreadableSnafu { path })?;
    parse_file(&text).or_else(|faults| InvalidFileSnafu { path, faults }.fail())
}

/// Parses the text of the client's configuration file.
fn parse_file(text: &str) -> Result<Options, Vec<Fault>> {
    let (sections, mut faults) = ini::parse(text);
    let mut options = Options::default();
    for section in &sections {
        if section.name != "client" {
            faults.push(Fault {
                line: section.line,
                section: section.name.clone(),
                key: Default::default(),
                text: "the section is unknown".into(),
                hint: "known sections: client".into(),
            });
            continue;
        }
        let mut reader = Reader::new(section, &mut faults);
        options.platform = reader.optional("platform", "write IP:PORT", parse_platform);
        let nodes = reader.optional("nodes", "write IP:PORT, IP:PORT, ...", parse_nodes);
        options.nodes = nodes.unwrap_or_default();
        reader.close();
    }
    if faults.is_empty() { Ok(options) } else { Err(faults) }
}

/// Parses a comma-separated list of addresses.
fn parse_nodes(text: &str) -> Option<Vec<SocketAddr>> {
    let parts = text.split(',').map(str::trim).filter(|part| !part.is_empty());
    parts.map(|part| part.parse().ok()).collect()
}
