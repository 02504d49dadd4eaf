//! The control loop: runs the control state machine of this node.
//!
//! The loop owns the one [`Control`] of the process and lives on a thread of its own, so that a
//! burst of requests never delays a heartbeat. Events reach it over channels; its actions go to
//! the control links, to the platform client and to the tables shared with the request path.

use {
    crate::{clock::Clock, link::ControlLinks, metrics::Metrics, shared::Shared},
    log::info,
    platform::PlatformCalls,
    std::{sync::Arc, time::Duration},
    tokio::{
        sync::{mpsc, watch},
        time::{MissedTickBehavior, interval},
    },
    whinspring::{
        control::{Action, Control, Event, Peer, Setup, TICK_MS},
        message::Message,
        model::Suspect,
        record::{Key, Kind, Value},
    },
    whinspring_platform::Platform,
};

mod platform;
mod suspects;

/// What reaches the control loop from the rest of the process.
pub struct Inputs {
    /// Messages of other nodes.
    pub inbox: mpsc::Receiver<(Peer, Message)>,
    /// Reports of this node's holders.
    pub reports: mpsc::UnboundedReceiver<Message>,
    /// Suspicions found by this node's holders.
    pub suspects: mpsc::UnboundedReceiver<Suspect>,
    /// Turns true when a graceful stop begins.
    pub retire: watch::Receiver<bool>,
}

/// What the control loop acts on.
pub struct Outputs {
    /// Links to other nodes.
    pub links: ControlLinks,
    /// Client of the platform's object API.
    pub platform: Platform,
    /// Tables shared with the request path.
    pub shared: Arc<Shared>,
    /// Counters.
    pub metrics: Arc<Metrics>,
    /// Turns true once this node holds nothing and its record says that it is gone.
    pub retired: watch::Sender<bool>,
}

/// Runs the control state machine until the process ends.
pub async fn run(setup: Setup, clock: Clock, inputs: Inputs, outputs: Outputs) {
    let (events, answers) = mpsc::unbounded_channel();
    let calls = PlatformCalls::new(outputs.platform.clone(), events, outputs.metrics.clone());
    let control = Control::new(clock.now(), setup);
    tokio::spawn(suspects::run(outputs.platform.clone(), inputs.suspects));
    let mut driver = Driver { control, clock, calls, outputs, actions: Vec::new() };
    driver.run(inputs.inbox, inputs.reports, inputs.retire, answers).await;
}

/// The state machine together with what carries its actions out.
struct Driver {
    /// The state machine.
    control: Control,
    /// Clock of the process.
    clock: Clock,
    /// Calls to the platform in the background.
    calls: PlatformCalls,
    /// Everything else that is acted on.
    outputs: Outputs,
    /// Actions not yet carried out; kept to reuse its memory.
    actions: Vec<Action>,
}

impl Driver {
    /// Feeds events to the state machine, one at a time.
    async fn run(
        &mut self,
        mut inbox: mpsc::Receiver<(Peer, Message)>,
        mut reports: mpsc::UnboundedReceiver<Message>,
        mut retire: watch::Receiver<bool>,
        mut answers: mpsc::UnboundedReceiver<Event>,
    ) {
        let mut ticks = interval(Duration::from_millis(TICK_MS));
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut retiring = false;
        loop {
            let event = tokio::select! {
                biased;
                Some((peer, message)) = inbox.recv() => Event::Heard(peer, message),
                Some(event) = answers.recv() => event,
                Some(message) = reports.recv() => Event::Local(message),
                Ok(()) = retire.changed(), if !retiring => {
                    retiring = true;
                    Event::Retire
                }
                _ = ticks.tick() => Event::Tick,
            };
            self.handle(event);
        }
    }

    /// Feeds one event and carries out what follows from it.
    fn handle(&mut self, event: Event) {
        let mut actions = std::mem::take(&mut self.actions);
        self.control.handle(self.clock.now(), self.clock.wall(), event, &mut actions);
        self.publish();
        for action in actions.drain(..) {
            self.act(action);
        }
        self.actions = actions;
        if self.control.retired() {
            self.outputs.retired.send_replace(true);
        }
    }

    /// Carries out one action.
    fn act(&mut self, action: Action) {
        match action {
            Action::Send(peer, message) => self.outputs.links.send(&peer, message),
            Action::Put { op, key, expect, mark, value } => {
                self.calls.put(op, key, expect, mark, value);
            }
            Action::List => self.calls.list(),
            Action::Watch(after) => self.calls.watch(after),
            Action::ListVms => self.calls.list_vms(),
            Action::Changed(keys) => self.apply_changes(&keys),
            Action::Log(line) => info!("{line}"),
            Action::Count(name) => self.outputs.metrics.count(name),
        }
    }

    /// Publishes the incarnation and the lease.
    fn publish(&self) {
        let shared = &self.outputs.shared;
        if shared.incarnation() != self.control.incarnation() {
            shared.set_incarnation(self.control.incarnation());
        }
        shared.set_control_status(self.control.replica().seen(), self.control.is_controller());
        shared.set_lease(self.control.lease_until());
    }

    /// Notes how the owners in a segment changed.
    fn record_owners(&self, key: &Key) {
        let replica = self.control.replica();
        let shared = &self.outputs.shared;
        let Some((name, index)) = key.name.rsplit_once('.') else { return };
        let Some(record) = replica.get(key) else { return };
        let Some(Value::Segment(after)) = &record.value else { return };
        let service = replica.get(&Key::new(Kind::Service, name));
        let service = service.and_then(|record| record.value.as_ref());
        let Some(Value::Service(service)) = service else { return };
        let view = shared.view();
        let known = view.service(name).zip(index.parse().ok());
        let before = known.and_then(|(service, index)| service.segment(index));
        let plans: Vec<_> = replica.iter(Kind::Plan).collect();
        let after = (after, record.version);
        let mut history = shared.history.lock();
        history.note(self.clock.wall(), service, before.map(Arc::as_ref), after, &plans);
    }

    /// Brings the request path up to date with changed records.
    fn apply_changes(&self, keys: &[Key]) {
        let replica = self.control.replica();
        keys.iter().for_each(|key| self.record_owners(key));
        let records = keys.iter().filter_map(|key| replica.get(key));
        let view = self.outputs.shared.view().updated(records);
        self.outputs.shared.set_view(view);
        self.outputs.shared.set_synced();
    }
}
