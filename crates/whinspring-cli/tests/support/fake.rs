//! An in-memory store that can also execute plans as the controller does.

use {
    std::cell::RefCell,
    whinspring::{
        control::WriteOutcome,
        model::Plan,
        plan::Records,
        planner::{Observations, plans},
        record::{Key, Kind, Record, Value},
        replica::Replica,
    },
    whinspring_cli::{
        Output, command, dispatch, error::Error, exit::Exit, store::Store, view::Format,
    },
};

/// An in-memory store.
#[derive(Debug, Default)]
pub struct Fake {
    state: RefCell<State>,
}

#[derive(Debug, Default)]
struct State {
    records: Records,
    revision: u64,
    /// Number of further writes that take effect but whose reply is lost.
    lost_replies: u32,
    /// Whether the controller runs before each read or write of a record.
    has_controller: bool,
}

impl Fake {
    /// Writes a record unconditionally.
    pub fn set(&self, key: Key, value: Value) {
        self.state.borrow_mut().write(key, 0, value);
    }

    /// Loses the replies of the next `replies` writes.
    pub fn lose_replies(&self, replies: u32) {
        self.state.borrow_mut().lost_replies = replies;
    }

    /// Makes the controller run before each following read or write.
    pub fn start_controller(&self) {
        self.state.borrow_mut().has_controller = true;
    }

    /// Returns all plans in the order of their last writes.
    pub fn plans(&self) -> Vec<Plan> {
        let state = self.state.borrow();
        let mut records: Vec<_> =
            state.records.values().filter(|r| r.key.kind == Kind::Plan).collect();
        records.sort_by_key(|record| record.version);
        records.into_iter().map(|record| plan_of(record).unwrap().clone()).collect()
    }
}

impl State {
    fn write(&mut self, key: Key, mark: u64, value: Value) -> u64 {
        self.revision += 1;
        let record = Record { key: key.clone(), version: self.revision, mark, value: Some(value) };
        self.records.insert(key, record);
        self.revision
    }

    /// Applies the controller's writes to plans; returns whether there were any.
    fn apply_decisions(&mut self) -> bool {
        let mut replica = Replica::default();
        replica.apply(0, self.revision, self.records.values().cloned().collect());
        let writes = plans::advance(&replica, &Observations::default());
        let changed = !writes.is_empty();
        for write in writes {
            self.write(write.key, 0, write.value.expect("plans delete nothing"));
        }
        changed
    }
}

fn plan_of(record: &Record) -> Option<&Plan> {
    match &record.value {
        Some(Value::Plan(plan)) => Some(plan),
        _ => None,
    }
}

impl Store for Fake {
    async fn list(&self) -> Result<Records, Error> {
        Ok(self.state.borrow().records.clone())
    }

    async fn get(&self, key: &Key) -> Result<Option<Record>, Error> {
        let mut state = self.state.borrow_mut();
        while state.has_controller && state.apply_decisions() {}
        Ok(state.records.get(key).cloned())
    }

    async fn put(
        &self,
        key: &Key,
        expect: u64,
        mark: u64,
        value: &Value,
    ) -> Result<WriteOutcome, Error> {
        let mut state = self.state.borrow_mut();
        while state.has_controller && state.apply_decisions() {}
        let (version, found) =
            state.records.get(key).map_or((0, 0), |record| (record.version, record.mark));
        if version != expect {
            return Ok(WriteOutcome::Conflict { version, mark: found });
        }
        let version = state.write(key.clone(), mark, value.clone());
        if state.lost_replies > 0 {
            state.lost_replies -= 1;
            return Ok(WriteOutcome::Unknown);
        }
        Ok(WriteOutcome::Written(version))
    }
}

/// Runs a command and returns its exit code and output.
///
/// In the output, ids of plans are replaced by `PLAN` and their index in the order of last writes.
pub async fn run(fake: &Fake, line: &[&str], format: Format) -> (Exit, String) {
    let line = ["whinspring"].iter().chain(line);
    let matches = command::command().try_get_matches_from(line).unwrap();
    let mut out = Output { format, sink: Vec::new() };
    let ended = dispatch(&matches, fake, &[], &mut out).await;
    let mut text = String::from_utf8(out.sink).unwrap();
    let exit = ended.unwrap_or_else(|error| {
        text.push_str(&format.render_error(&error));
        error.exit_code()
    });
    for (index, plan) in fake.plans().iter().enumerate() {
        text = text.replace(plan.id.as_str(), &format!("PLAN{}", index + 1));
    }
    (exit, text)
}
