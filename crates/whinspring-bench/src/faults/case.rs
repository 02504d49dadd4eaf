//! The cases: each brings its fault to a running deployment at an instant drawn from the seed.

mod actions;
mod checks;

use {
    super::KEYED,
    crate::{
        driver::History,
        fleet::{CommandOutput, Error, Fleet},
    },
    rand::{Rng, SeedableRng},
    rand_chacha::ChaCha8Rng,
    std::{
        collections::BTreeMap,
        net::SocketAddr,
        time::{Duration, Instant},
    },
    tokio::time::sleep,
    whinspring_standin::relay::Relay,
};

/// Shortest time of traffic before the fault.
const MIN_LEAD_MS: u64 = 1_200;

/// Range from which the further time before the fault is drawn.
const LEAD_JITTER_MS: u64 = 800;

/// A kind of fault.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Case {
    /// A daemon that is not the controller is killed.
    HolderLost,
    /// A backend server is killed.
    ServerLost,
    /// A daemon and a server are killed at once.
    BothLost,
    /// The controller is killed.
    ControllerLost,
    /// A daemon is paused past its lease and goes on.
    DaemonFrozen,
    /// The controller is paused past its lease and goes on.
    ControllerFrozen,
    /// A server is paused and goes on.
    ServerFrozen,
    /// A daemon is killed while calls to the platform hang.
    OutageHang,
    /// A daemon is killed while the platform refuses connections.
    OutageRefuse,
    /// A server is killed while the platform is slow and loses replies.
    PlatformLossy,
    /// A daemon is stopped as planned while a download runs through it.
    PlannedStop,
    /// A server is drained.
    Drain,
    /// All daemons are replaced in turn.
    Rolling,
    /// A request that ends its server is resent for ever.
    Crashing,
    /// Two operators confirm conflicting plans at once.
    Conflict,
    /// All open connections to a server fall silent; new ones work.
    SilentConnections,
}

/// A running deployment and what happened to it.
#[derive(Debug)]
pub(super) struct Scenario {
    /// The deployment.
    pub(super) fleet: Fleet,
    /// Seed of the run.
    pub(super) seed: u64,
    /// Faults brought and steps taken.
    pub(super) steps: u64,
    /// Losses, by which the time to the next answer is measured.
    pub(super) losses: Vec<Loss>,
    /// Entries that were paused.
    pub(super) pauses: Vec<Pause>,
    /// Requests that the case itself sent.
    pub(super) histories: Vec<History>,
    /// Confirmed plans that are gone or without effect.
    pub(super) lost_ack: u64,
    /// Servers that one request ended.
    pub(super) victims: u64,
    /// What went wrong beside the counts.
    pub(super) notes: Vec<String>,
    case: Case,
    victim: Option<usize>,
    random: ChaCha8Rng,
    plans: Vec<String>,
    relays: BTreeMap<String, Relay>,
    killed: Vec<String>,
    drained: Vec<Drained>,
}

/// Servers that could not be reached from an instant on.
#[derive(Debug)]
pub(super) struct Loss {
    /// When.
    pub(super) at: Instant,
    /// Names of the servers.
    pub(super) servers: Vec<String>,
}

/// An entry that was paused.
#[derive(Debug)]
pub(super) struct Pause {
    /// Its address for callers.
    pub(super) entry: SocketAddr,
    /// When it was paused.
    pub(super) from: Instant,
    /// When it went on.
    pub(super) to: Instant,
}

/// A server that gets no new work from an instant on.
#[derive(Debug)]
struct Drained {
    server: String,
    from_us: u64,
}

impl Case {
    /// All cases, in the order in which they run.
    pub(super) const ALL: [Self; 16] = [
        Self::HolderLost,
        Self::ServerLost,
        Self::BothLost,
        Self::ControllerLost,
        Self::DaemonFrozen,
        Self::ControllerFrozen,
        Self::ServerFrozen,
        Self::OutageHang,
        Self::OutageRefuse,
        Self::PlatformLossy,
        Self::PlannedStop,
        Self::Drain,
        Self::Rolling,
        Self::Crashing,
        Self::Conflict,
        Self::SilentConnections,
    ];

    /// Returns the name on the command line.
    pub(super) fn name(self) -> &'static str {
        match self {
            Self::HolderLost => "holder-lost",
            Self::ServerLost => "server-lost",
            Self::BothLost => "both-lost",
            Self::ControllerLost => "controller-lost",
            Self::DaemonFrozen => "daemon-frozen",
            Self::ControllerFrozen => "controller-frozen",
            Self::ServerFrozen => "server-frozen",
            Self::OutageHang => "outage-hang",
            Self::OutageRefuse => "outage-refuse",
            Self::PlatformLossy => "platform-lossy",
            Self::PlannedStop => "planned-stop",
            Self::Drain => "drain",
            Self::Rolling => "rolling",
            Self::Crashing => "crashing",
            Self::Conflict => "conflict",
            Self::SilentConnections => "silent-connections",
        }
    }

    /// Returns whether the platform is at fault in it.
    pub(super) fn has_platform_fault(self) -> bool {
        matches!(self, Self::OutageHang | Self::OutageRefuse | Self::PlatformLossy)
    }
}

impl Scenario {
    /// Returns the scene of a case.
    pub(super) fn new(fleet: Fleet, case: Case, seed: u64) -> Self {
        Self {
            fleet,
            seed,
            steps: 0,
            losses: Vec::new(),
            pauses: Vec::new(),
            histories: Vec::new(),
            lost_ack: 0,
            victims: 0,
            notes: Vec::new(),
            case,
            victim: None,
            random: ChaCha8Rng::seed_from_u64(seed ^ ((case as u64) << 32)),
            plans: Vec::new(),
            relays: BTreeMap::new(),
            killed: Vec::new(),
            drained: Vec::new(),
        }
    }

    /// Places a relay before each keyed server if the case needs them.
    pub(super) async fn place_relays(&mut self) -> Result<(), Error> {
        if self.case != Case::SilentConnections {
            return Ok(());
        }
        for server in self.fleet.servers.iter_mut().filter(|server| server.service == KEYED) {
            let listen = SocketAddr::from(([127, 0, 0, 1], 0));
            let Ok(relay) = Relay::start(listen, server.addr).await else {
                self.notes.push("no relay could be started".into());
                return Ok(());
            };
            server.addr = relay.addr;
            self.relays.insert(server.name.clone(), relay);
        }
        Ok(())
    }

    /// Remembers the plans that were confirmed.
    pub(super) fn record_plans(&mut self, commands: &[CommandOutput]) {
        let plans = commands.iter().filter_map(|command| command.command.strip_prefix("confirm "));
        self.plans.extend(plans.filter_map(|rest| Some(rest.split_once(' ')?.0.to_string())));
    }

    /// Chooses the daemon that the case takes away or pauses.
    pub(super) async fn choose_victim(&mut self) {
        self.victim = match self.case {
            Case::ControllerLost | Case::ControllerFrozen => Some(self.find_daemon(true).await),
            Case::HolderLost
            | Case::BothLost
            | Case::DaemonFrozen
            | Case::OutageHang
            | Case::OutageRefuse
            | Case::PlannedStop
            | Case::Crashing => Some(self.find_daemon(false).await),
            _ => None,
        };
    }

    /// Returns the entries at which keys are asked for continually: all but the victim.
    pub(super) fn probe_entries(&self) -> Vec<SocketAddr> {
        let daemons = self.fleet.daemons.iter().enumerate();
        let daemons = daemons.filter(|(index, _)| Some(*index) != self.victim);
        daemons.map(|(_, daemon)| daemon.caller).collect()
    }

    /// Brings the fault.
    pub(super) async fn inject_fault(&mut self) -> Result<(), Error> {
        let jitter = self.random.random_range(0..LEAD_JITTER_MS);
        sleep(Duration::from_millis(MIN_LEAD_MS + jitter)).await;
        match self.case {
            Case::HolderLost => self.lose_daemon(false).await,
            Case::ServerLost => self.lose_server().await,
            Case::BothLost => self.lose_daemon(true).await,
            Case::ControllerLost => self.lose_daemon(false).await,
            Case::DaemonFrozen => self.pause_daemon().await?,
            Case::ControllerFrozen => self.pause_daemon().await?,
            Case::ServerFrozen => self.pause_server().await?,
            Case::OutageHang => self.run_outage("hang").await?,
            Case::OutageRefuse => self.run_outage("refuse").await?,
            Case::PlatformLossy => self.degrade_platform().await?,
            Case::PlannedStop => self.stop_gracefully().await?,
            Case::Drain => self.drain_server().await?,
            Case::Rolling => self.restart_all().await?,
            Case::Crashing => self.send_crashing().await,
            Case::Conflict => self.confirm_conflicting().await?,
            Case::SilentConnections => self.stall_connections(),
        }
        Ok(())
    }

    /// Stops everything.
    pub(super) async fn close(self) {
        self.fleet.close().await;
        for relay in self.relays.into_values() {
            relay.close().await;
        }
    }
}
