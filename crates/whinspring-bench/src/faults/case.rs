//! Fault cases: each injects its fault into a running deployment at an instant drawn from the seed.

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

/// Minimum time of traffic before the fault.
const MIN_LEAD_MS: u64 = 1_200;

/// Upper bound of the random time added to [`MIN_LEAD_MS`].
const LEAD_JITTER_MS: u64 = 800;

/// A fault case.
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
    /// A daemon is suspended for longer than its lease and resumed.
    DaemonFrozen,
    /// The controller is suspended for longer than its lease and resumed.
    ControllerFrozen,
    /// A server is suspended and resumed.
    ServerFrozen,
    /// A daemon is killed while calls to the platform hang.
    OutageHang,
    /// A daemon is killed while the platform refuses connections.
    OutageRefuse,
    /// A server is killed while the platform is slow and loses replies.
    PlatformLossy,
    /// A daemon is stopped gracefully while it forwards a download.
    PlannedStop,
    Drain,
    /// All daemons are restarted one after the other.
    Rolling,
    /// A request that crashes its server is retried again and again.
    Crashing,
    /// Two operators confirm conflicting plans concurrently.
    Conflict,
    /// All open connections to a server stall; new ones work.
    SilentConnections,
}

/// State of a case: the deployment and the events recorded for the evaluation.
#[derive(Debug)]
pub(super) struct Scenario {
    pub(super) fleet: Fleet,
    pub(super) seed: u64,
    /// Number of injected faults and other steps.
    pub(super) steps: u64,
    /// Losses of servers, from which recovery times are measured.
    pub(super) losses: Vec<Loss>,
    /// Periods in which an entry was suspended.
    pub(super) pauses: Vec<Pause>,
    /// Requests sent by the case itself.
    pub(super) histories: Vec<History>,
    /// Confirmed plans that are missing or not finished.
    pub(super) lost_ack: u64,
    /// Servers that exited without being killed by the case.
    pub(super) victims: u64,
    /// Failures that the counts do not cover.
    pub(super) notes: Vec<String>,
    case: Case,
    victim: Option<usize>,
    random: ChaCha8Rng,
    plans: Vec<String>,
    relays: BTreeMap<String, Relay>,
    killed: Vec<String>,
    drained: Vec<Drained>,
}

/// Servers that became unreachable at an instant.
#[derive(Debug)]
pub(super) struct Loss {
    pub(super) at: Instant,
    pub(super) servers: Vec<String>,
}

/// A period in which an entry was suspended.
#[derive(Debug)]
pub(super) struct Pause {
    /// Caller address of the entry.
    pub(super) entry: SocketAddr,
    /// Start of the period.
    pub(super) from: Instant,
    /// End of the period.
    pub(super) to: Instant,
}

/// A draining server that must start no requests from an instant on.
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

    /// Returns the name for the option `--case`.
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

    /// Returns whether the case injects faults of the platform.
    pub(super) fn has_platform_fault(self) -> bool {
        matches!(self, Self::OutageHang | Self::OutageRefuse | Self::PlatformLossy)
    }
}

impl Scenario {
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

    /// Puts a relay in front of each keyed server if the case stalls connections.
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

    /// Records the plans confirmed by `commands`.
    pub(super) fn record_plans(&mut self, commands: &[CommandOutput]) {
        let plans = commands.iter().filter_map(|command| command.command.strip_prefix("confirm "));
        self.plans.extend(plans.filter_map(|rest| Some(rest.split_once(' ')?.0.to_string())));
    }

    /// Chooses the daemon that the case stops or suspends.
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

    /// Returns the entries that receive probe requests: all but the victim.
    pub(super) fn probe_entries(&self) -> Vec<SocketAddr> {
        let daemons = self.fleet.daemons.iter().enumerate();
        let daemons = daemons.filter(|(index, _)| Some(*index) != self.victim);
        daemons.map(|(_, daemon)| daemon.caller).collect()
    }

    /// Waits for the random lead time and injects the fault.
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

    /// Stops the deployment and the relays.
    pub(super) async fn close(self) {
        self.fleet.close().await;
        for relay in self.relays.into_values() {
            relay.close().await;
        }
    }
}
