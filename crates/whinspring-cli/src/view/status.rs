//! Views of the deployment's status, of owners and of problems.

use {
    super::Plans,
    crate::{
        query::{Finding, NodeRow, OwnerRow, ServerRow, ServiceRow},
        text::{table, wrap},
    },
    serde::Serialize,
    std::fmt::{self, Display, Formatter},
};

/// Status of a deployment.
#[derive(Debug, Serialize)]
pub struct Status {
    /// Number of problems that `doctor` finds in the records.
    #[serde(rename = "wrong")]
    pub problems: usize,
    /// The controller's node and term, or `none`.
    pub controller: String,
    pub nodes: Vec<NodeRow>,
    pub services: Vec<ServiceRow>,
    /// Plans that have not ended.
    pub plans: Plans,
}

impl Display for Status {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        match self.problems {
            0 => f.write_str("no problems found\n")?,
            1 => f.write_str("1 problem found: see `whinspring doctor`\n")?,
            count => writeln!(f, "{count} problems found: see `whinspring doctor`")?,
        }
        if !self.plans.plans.is_empty() {
            write!(f, "\nopen plans\n{}", self.plans)?;
        }
        for service in &self.services {
            write_service(f, service)?;
        }
        writeln!(f, "\nnodes, controller {}", self.controller)?;
        f.write_str(&table(&self.nodes.iter().map(node_cells).collect::<Vec<_>>()))
    }
}

fn write_service(f: &mut Formatter<'_>, service: &ServiceRow) -> fmt::Result {
    let ServiceRow { name, prefix, version, slices, owned, .. } = service;
    let keys = match slices {
        0 => "unkeyed".into(),
        slices => format!("{owned} of {slices} slices owned"),
    };
    f.write_str("\n")?;
    let line = format!("at {prefix}, version {version}, {keys}");
    f.write_str(&wrap(&format!("service {name} "), "  ", &line))?;
    let heads = ["server", "domain", "state", "holder", "slices", "keys", "fenced"];
    let mut rows = vec![heads.map(String::from).to_vec()];
    rows.extend(service.servers.iter().map(server_cells));
    f.write_str(&table(&rows))
}

fn server_cells(server: &ServerRow) -> Vec<String> {
    let holder = if server.holder.is_empty() { "none" } else { &server.holder };
    vec![
        format!("s{} {}", server.id, server.name),
        server.domain.clone(),
        server.state.into(),
        format!("{holder}/{}", server.term),
        server.slices.to_string(),
        server.keys.to_string(),
        if server.fenced { "yes".into() } else { "no".into() },
    ]
}

fn node_cells(node: &NodeRow) -> Vec<String> {
    vec![
        node.name.clone(),
        node.domain.clone(),
        node.state.into(),
        node.addr.clone(),
        format!("holds {}", node.holds),
    ]
}

/// The owners of a key.
#[derive(Debug, Serialize)]
pub struct Owners {
    pub key: String,
    /// The owner in each keyed service.
    pub owners: Vec<OwnerRow>,
}

impl Display for Owners {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        f.write_str(&wrap("key ", "  ", &self.key))?;
        if self.owners.is_empty() {
            f.write_str("  no keyed service is declared\n")?;
        }
        for owner in &self.owners {
            f.write_str(&wrap("  ", "    ", &owner_line(owner)))?;
        }
        Ok(())
    }
}

fn owner_line(owner: &OwnerRow) -> String {
    let own = if owner.single { ", assigned as a single key" } else { "" };
    let place = format!("{}: slice {}{own}", owner.service, owner.slice);
    if owner.server.is_empty() {
        return format!("{place}: NO OWNER");
    }
    let holder = if owner.holder.is_empty() { "NOBODY" } else { &owner.holder };
    let next = match owner.next.as_str() {
        "" => String::new(),
        next => format!(", moving to {next}"),
    };
    format!("{place}: {}, epoch {}, held by {holder}{next}", owner.server, owner.epoch)
}

/// The problems of a deployment.
#[derive(Debug, Serialize)]
pub struct Diagnosis {
    /// The problems, the most severe first.
    pub findings: Vec<Finding>,
}

impl Diagnosis {
    /// Adds problems and sorts all of them by severity.
    pub fn add(&mut self, findings: Vec<Finding>) {
        self.findings.extend(findings);
        self.findings.sort();
    }
}

impl Display for Diagnosis {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        if self.findings.is_empty() {
            return f.write_str("no problems found\n");
        }
        let mut last = None;
        for finding in &self.findings {
            if last != Some(finding.severity) {
                writeln!(f, "{}", finding.severity)?;
            }
            last = Some(finding.severity);
            f.write_str(&wrap("  ! ", "    ", &finding.text))?;
            f.write_str(&wrap("    -> ", "       ", &finding.remedy))?;
        }
        Ok(())
    }
}
