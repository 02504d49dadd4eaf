//! Formatting of records for the trace, one line each.

use {
    std::collections::BTreeMap,
    whinspring::{
        model::{Holder, Server},
        name::ServerId,
        record::{Key, Value},
    },
};

pub fn format_key(key: &Key) -> String {
    format!("{}/{}", key.kind.as_str(), key.name)
}

pub fn format_value(value: &Option<Value>) -> String {
    match value {
        None => "deleted".into(),
        Some(Value::Node(node)) => format!("{:?}, lessors {:?}", node.state, node.lessors),
        Some(Value::Controller(c)) => format!("{} in term {}", c.node, c.term),
        Some(Value::Holders(holders)) => {
            let show = |(id, h): (&ServerId, &Holder)| {
                let next = h.next.as_ref().map_or(String::new(), |next| format!("->{next}"));
                format!("{id}={}@{}{next}", h.node, h.term)
            };
            holders.terms.iter().map(show).collect::<Vec<_>>().join(" ")
        }
        Some(Value::Segment(segment)) => {
            let mut counts: BTreeMap<String, usize> = BTreeMap::new();
            for owner in segment.owners.iter().chain(segment.keys.values()) {
                let next = owner.next.map_or(String::new(), |next| format!("->{next}"));
                *counts.entry(format!("{}@{}{next}", owner.server, owner.epoch)).or_default() += 1;
            }
            let show = |(owner, count): (&String, &usize)| format!("{count}x {owner}");
            counts.iter().map(show).collect::<Vec<_>>().join(", ")
        }
        Some(Value::Plan(plan)) => format!("{:?}, {} done {}", plan.state, plan.done, plan.reason),
        Some(Value::Service(service)) => {
            let show = |(id, s): (&ServerId, &Server)| format!("{id} {:?}", s.state);
            service.servers.iter().map(show).collect::<Vec<_>>().join(", ")
        }
        Some(other) => format!("{other:?}"),
    }
}
