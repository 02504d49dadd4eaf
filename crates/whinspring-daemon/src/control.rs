//! The control loop: runs the control state machine of this node.
//!
//! The loop owns the single [`Control`] of the process and runs on a dedicated thread, so that a
//! burst of requests never delays a heartbeat. Events arrive over channels; actions go to the
//! control links, the platform client and the state shared with the request path.

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

/// Channels into the control loop.
pub struct Inputs {
    /// Messages from other nodes.
    pub inbox: mpsc::Receiver<(Peer, Message)>,
    /// Reports from this node's holders.
    pub reports: mpsc::UnboundedReceiver<Message>,
    /// Requests that this node's holders suspect of crashing servers.
    pub suspects: mpsc::UnboundedReceiver<Suspect>,
    /// Turns true when a graceful stop begins.
    pub retire: watch::Receiver<bool>,
}

/// Targets of the control loop's actions.
pub struct Outputs {
    /// Control links to other nodes.
    pub links: ControlLinks,
    /// Client of the platform's object API.
    pub platform: Platform,
    /// State shared with the request path.
    pub shared: Arc<Shared>,
    pub metrics: Arc<Metrics>,
    /// Turns true once this node holds no servers and its record is marked as gone.
    pub retired: watch::Sender<bool>,
}

/// Runs the control state machine until the process ends.
pub async fn run(setup: Setup, clock: Clock, inputs: Inputs, outputs: Outputs) {
    let (events, platform_events) = mpsc::unbounded_channel();
    let calls = PlatformCalls::new(outputs.platform.clone(), events, outputs.metrics.clone());
    let control = Control::new(clock.now(), setup);
    tokio::spawn(suspects::run(outputs.platform.clone(), inputs.suspects));
    let mut driver = Driver { control, clock, calls, outputs, actions: Vec::new() };
    driver.run(inputs.inbox, inputs.reports, inputs.retire, platform_events).await;
}

/// Feeds the state machine and performs its actions.
struct Driver {
    control: Control,
    clock: Clock,
    /// Background calls to the platform.
    calls: PlatformCalls,
    /// Targets of all other actions.
    outputs: Outputs,
    /// Action buffer, kept to reuse its allocation.
    actions: Vec<Action>,
}

impl Driver {
    /// Feeds events to the state machine, one at a time.
    async fn run(
        &mut self,
        mut inbox: mpsc::Receiver<(Peer, Message)>,
        mut reports: mpsc::UnboundedReceiver<Message>,
        mut retire: watch::Receiver<bool>,
        mut platform_events: mpsc::UnboundedReceiver<Event>,
    ) {
        let mut ticks = interval(Duration::from_millis(TICK_MS));
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut retiring = false;
        loop {
            let event = tokio::select! {
                biased;
                Some((peer, message)) = inbox.recv() => Event::Received(peer, message),
                Some(event) = platform_events.recv() => event,
                Some(message) = reports.recv() => Event::Report(message),
                Ok(()) = retire.changed(), if !retiring => {
                    retiring = true;
                    Event::Stop
                }
                _ = ticks.tick() => Event::Tick
            };
            self.handle(event);
        }
    }

    /// Handles one event and performs the resulting actions.
    fn handle(&mut self, event: Event) {
        let mut actions = std::mem::take(&mut self.actions);
        self.control.handle(self.clock.now(), self.clock.wall(), event, &mut actions);
        self.publish();
        for action in actions.drain(..) {
            self.perform(action);
        }
        self.actions = actions;
        if self.control.is_stopped() {
            self.outputs.retired.send_replace(true);
        }
    }

    /// Performs one action.
    fn perform(&mut self, action: Action) {
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

    /// Publishes incarnation, controller status and lease to the request path.
    fn publish(&self) {
        let shared = &self.outputs.shared;
        if shared.incarnation() != self.control.incarnation() {
            shared.set_incarnation(self.control.incarnation());
        }
        shared.set_control_status(self.control.replica().seen(), self.control.is_controller());
        shared.set_lease(self.control.lease_expiry());
    }

    /// Records ownership changes in a segment in the history.
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
        history.record(self.clock.wall(), service, before.map(Arc::as_ref), after, &plans);
    }

    /// Applies changed records to the routing view.
    fn apply_changes(&self, keys: &[Key]) {
        let replica = self.control.replica();
        keys.iter().for_each(|key| self.record_owners(key));
        let records = keys.iter().filter_map(|key| replica.get(key));
        let view = self.outputs.shared.view().with_records(records);
        self.outputs.shared.set_view(view);
        self.outputs.shared.set_synced();
    }
}
