//! What refusals prove of a server, and what they do not.

use {
    std::time::Duration,
    whinspring::server_end::{Doubt, EndProof, Observation},
};

const REQUIRED: Duration = Duration::from_millis(400);

/// Returns what three nodes outside see whose connections to a server are refused.
fn refused_outside() -> Observation {
    Observation {
        refusing: REQUIRED,
        required: REQUIRED,
        responded: false,
        has_paths: true,
        nodes: 3,
        refused: 3,
        refused_inside: false,
        domain_reached: false,
    }
}

/// Guards against a vote that a partition wins: all nodes that hear each other are outside.
#[test]
fn refusals_outside_a_silent_domain_prove_nothing_however_many_there_are() {
    for nodes in 1..=300 {
        let observed = Observation { nodes, refused: nodes, ..refused_outside() };
        assert_eq!(observed.conclude(), Err(Doubt::DomainSilent));
    }
}

#[test]
fn refusals_prove_an_end_if_the_domain_is_reached() {
    let inside = Observation { refused_inside: true, ..refused_outside() };
    assert_eq!(inside.conclude(), Ok(EndProof::RefusedInside));
    let reached = Observation { domain_reached: true, ..refused_outside() };
    assert_eq!(reached.conclude(), Ok(EndProof::DomainReached));
}

/// Guards against conclusions from less than all of the evidence.
#[test]
fn each_part_of_the_evidence_is_needed() {
    let proved = Observation { refused_inside: true, domain_reached: true, ..refused_outside() };
    let just_before = REQUIRED - Duration::from_millis(1);
    for (observed, doubt) in [
        (Observation { refusing: just_before, ..proved }, Doubt::Recent),
        (Observation { responded: true, ..proved }, Doubt::Responded),
        (Observation { has_paths: false, ..proved }, Doubt::OwnPaths),
        (Observation { refused: 2, ..proved }, Doubt::FewNodes),
        (Observation { nodes: 5, refused: 3, ..proved }, Doubt::FewNodes),
    ] {
        assert_eq!(observed.conclude(), Err(doubt), "{observed:?}");
    }
}
