//! Diagnosis of the stored records: current problems by severity, each with a remedy.

use {
    super::{holders, is_live, nodes, plans, status::OwnedCounts, suspects},
    crate::{plans::conflict_reason, view::Diagnosis},
    serde::Serialize,
    std::{
        collections::BTreeSet,
        fmt::{self, Display, Formatter},
    },
    whinspring::{
        model::{NodeState, Plan, PlanState, ServerState, Service},
        plan::{self, Records},
        record::{Key, Kind, Value},
    },
};

/// A problem and its remedy.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize)]
pub struct Finding {
    #[serde(rename = "harm")]
    pub severity: Severity,
    pub text: String,
    #[serde(rename = "mend")]
    pub remedy: String,
}

/// Effect of a problem on callers, the most severe first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Severity {
    /// Callers are refused now.
    Refused,
    /// Callers are refused if one more node or server is lost.
    AtRisk,
    /// An operator has to act; callers are not affected.
    Waiting,
}

impl Display for Severity {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Refused => "callers are refused now",
            Self::AtRisk => "one more failure would affect callers",
            Self::Waiting => "waiting for an operator",
        })
    }
}

/// Returns the problems that the records show, the most severe first.
pub fn diagnose(records: &Records) -> Diagnosis {
    let mut findings = Vec::new();
    check_controller(records, &mut findings);
    check_nodes(records, &mut findings);
    for service in plan::services(records) {
        check_owners(records, service, &mut findings);
        check_holders(records, service, &mut findings);
        check_servers(service, &mut findings);
    }
    check_suspects(records, &mut findings);
    check_plans(records, &mut findings);
    findings.sort();
    Diagnosis { findings }
}

fn push_finding(findings: &mut Vec<Finding>, severity: Severity, text: String, remedy: &str) {
    findings.push(Finding { severity, text, remedy: remedy.into() });
}

/// Checks that the controller is a running node.
fn check_controller(records: &Records, findings: &mut Vec<Finding>) {
    let record = records.get(&Key::new(Kind::Controller, "controller"));
    let live = match record.and_then(|record| record.value.as_ref()) {
        Some(Value::Controller(term)) => is_live(records, &term.node, term.incarnation),
        _ => false,
    };
    if !live {
        let remedy = "a live node takes over by itself; if it lasts, check the nodes' logs";
        push_finding(findings, Severity::AtRisk, "no live node is the controller".into(), remedy);
    }
}

/// Checks that nodes are live, in several failure domains and with enough live lessors.
fn check_nodes(records: &Records, findings: &mut Vec<Finding>) {
    let live: Vec<_> = nodes(records).filter(|node| node.state == NodeState::Live).collect();
    let domains: BTreeSet<_> = live.iter().map(|node| &node.domain).collect();
    if live.is_empty() {
        let remedy = "start whinspringd on the entry VMs";
        push_finding(findings, Severity::Refused, "no node is live".into(), remedy);
    } else if domains.len() == 1 {
        let text = "all live nodes are in one failure domain".into();
        push_finding(findings, Severity::AtRisk, text, "start whinspringd on VMs of other domains");
    }
    let names: BTreeSet<_> = live.iter().map(|node| &node.name).collect();
    for node in &live {
        let lessors = node.lessors.iter().filter(|lessor| names.contains(lessor)).count();
        if lessors < 2 && names.len() > 3 {
            let text = format!("node {} has {lessors} live lessors of 3", node.name);
            let remedy =
                "it chooses others by itself; if it lasts, check that it reaches the platform";
            push_finding(findings, Severity::AtRisk, text, remedy);
        }
    }
}

/// Checks that every slice has an owner, and that no owner is lost.
fn check_owners(records: &Records, service: &Service, findings: &mut Vec<Finding>) {
    let counts = OwnedCounts::of(records, service);
    let owned: u32 = counts.slices.values().sum();
    let name = &service.name;
    if owned < service.slices {
        let text = format!(
            "{name}: {} of {} slices have no owner",
            service.slices - owned,
            service.slices
        );
        let remedy = "the controller assigns them; if it lasts, check that a server is active";
        push_finding(findings, Severity::Refused, text, remedy);
    }
    for (id, slices) in &counts.slices {
        let state = service.servers.get(id).map(|server| server.state);
        if state.is_none_or(|state| state == ServerState::Lost) {
            let text = format!("{name}: {slices} slices belong to the lost server {id}");
            let remedy = "the controller reassigns them; if it lasts, check the controller's node";
            push_finding(findings, Severity::Refused, text, remedy);
        }
    }
}

/// Checks that every active server has a running holder.
fn check_holders(records: &Records, service: &Service, findings: &mut Vec<Finding>) {
    let holders = holders(records, &service.name);
    for (id, server) in &service.servers {
        if server.state != ServerState::Active {
            continue;
        }
        let holder = holders.and_then(|holders| holders.terms.get(id));
        let held = holder.is_some_and(|holder| is_live(records, &holder.node, holder.incarnation));
        if !held {
            let text = format!("{}: no live node holds {id} {}", service.name, server.name);
            let remedy = "the controller assigns one; if it lasts, check that nodes are live";
            push_finding(findings, Severity::Refused, text, remedy);
        }
    }
}

/// Checks that servers are active, in several failure domains, and that none is lost.
fn check_servers(service: &Service, findings: &mut Vec<Finding>) {
    let name = &service.name;
    let active: Vec<_> =
        service.servers.values().filter(|server| server.state == ServerState::Active).collect();
    let domains: BTreeSet<_> = active.iter().map(|server| &server.domain).collect();
    if active.is_empty() {
        let remedy = format!("whinspring server return {name} SERVER, or server add");
        push_finding(findings, Severity::Refused, format!("{name}: no server is active"), &remedy);
    } else if domains.len() == 1 && service.servers.len() > 1 {
        let remedy = format!("whinspring server add {name} ... in another domain");
        push_finding(
            findings,
            Severity::AtRisk,
            format!("{name}: active servers in one domain only"),
            &remedy,
        );
    }
    for (id, server) in &service.servers {
        if server.state == ServerState::Lost {
            let remedy =
                format!("restart it, or whinspring server replace {name} {} ...", server.name);
            push_finding(
                findings,
                Severity::AtRisk,
                format!("{name}: {id} {} is lost", server.name),
                &remedy,
            );
        }
    }
}

/// Checks for requests that are refused because they crash servers.
fn check_suspects(records: &Records, findings: &mut Vec<Finding>) {
    for suspect in suspects(records) {
        let print = format!("{:016x}", suspect.print);
        let text = format!("request {print} is refused: it crashed {} servers", suspect.deaths);
        let remedy = format!("fix the server, then whinspring clear {print}");
        push_finding(findings, Severity::Waiting, text, &remedy);
    }
}

/// Checks for plans that failed, except because of a conflict: those changed nothing.
fn check_plans(records: &Records, findings: &mut Vec<Finding>) {
    let failed = |plan: &&Plan| plan.state == PlanState::Failed && conflict_reason(plan).is_none();
    for plan in plans(records).filter(failed) {
        let (id, intent) = (&plan.id, &plan.intent);
        let done = format!("{} of {} steps done", plan.done, plan.steps.len());
        let text = format!("plan {id} failed, {done}: {}", plan.reason);
        let remedy = format!("whinspring {intent}; whinspring abort {id} acknowledges it");
        push_finding(findings, Severity::Waiting, text, &remedy);
    }
}
