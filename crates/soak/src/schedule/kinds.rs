//! Kinds of faults and planned operations, and their names.
//! Input: names, as flags and files have them. State: none. Decides what a kind of fault affects.

use std::fmt::Display;
use std::fmt::Formatter;
use std::str::FromStr;

/// A kind of fault or planned operation.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum FaultKind {
    /// A gateway is killed, and started again at the end of the fault.
    Kill,
    /// A gateway is killed, and stays off for longer than other gateways keep its record.
    Off,
    /// All gateways are killed at once, and started again.
    KillAll,
    /// A gateway process is suspended.
    Pause,
    /// A gateway receives `SIGTERM`, and is started again when it has exited.
    Stop,
    /// A gateway receives `SIGHUP`, which announces changed settings.
    HangUp,
    /// The store refuses all calls.
    StoreBusy,
    /// The store accepts calls and does not respond.
    StoreSilent,
    /// The store executes calls and loses the responses.
    StoreLosesAnswers,
    /// The store refuses the calls of one gateway.
    StoreTurnsAway,
    /// The store loses its change history.
    StoreForgets,
    /// The store is unavailable for a moment, and returns with a snapshot some seconds old.
    StoreDrill,
    /// Open connections of a gateway to the store stop passing data and stay open; new ones work.
    StoreMute,
    /// Open connections of a gateway to the store are reset.
    StoreReset,
    /// Connections of a gateway to the store are slow.
    StoreSlow,
    /// Data from a gateway to the store is held back.
    StoreHoldsRequests,
    /// Data from the store to a gateway is held back.
    StoreHoldsAnswers,
    /// Open connections to a server stop passing data and stay open; new ones work.
    ServerMute,
    /// Open connections to a server are reset.
    ServerReset,
    /// Connections to a server are slow.
    ServerSlow,
    /// Data to a server is held back.
    ServerHoldsRequests,
    /// Data from a server is held back.
    ServerHoldsAnswers,
    /// A server crashes; another one replaces it at the end of the fault.
    ServerCrash,
    /// The row of a server marks it as leaving, and another server replaces it.
    ServerDrain,
    /// A server refuses requests.
    ServerRefuses,
    /// A server fails requests.
    ServerFails,
    /// A server runs requests, and loses the answers.
    ServerLosesAnswers,
    /// A server answers a request twice.
    ServerAnswersTwice,
    /// The answers of a server lack their signature.
    ServerForges,
    /// A request that crashes each server that runs it is sent repeatedly.
    CrashingRequest,
    /// Requests that differ are sent whose prompts share a part that crashes each server which runs
    /// them.
    CrashingPart,
    /// A server's answers have neither a length nor chunks, and end with their connection.
    ServerUnframed,
    /// A server refuses requests, and asks for a back-off.
    ServerAsksRest,
    /// A server announces in its answers that it is leaving, and its row does not show it; another
    /// server replaces it.
    ServerSaysItLeaves,
    /// A server advertises in its answers a limit of requests per second.
    ServerNamesLimit,
    /// The operator evacuates a data centre, and takes that back at the end of the fault.
    Evacuation,
    /// A server crashes; another one replaces it at the end of the fault, and is cold at first.
    ServerReturnsCold,
    /// Servers process few requests at once, and many more callers come than they have room for.
    Overload,
    /// All gateways are killed and started again and again, while all servers run requests and lose
    /// the answers.
    RestartSeries,
    /// All gateways are killed and started again every few seconds.
    KillSeries,
    /// Gateways receive `SIGTERM` one after the other, before the earlier ones have exited, while all
    /// receive `SIGHUP` again and again and new configurations are written in quick succession.
    PlannedSeries,
    /// New configurations are written in quick succession.
    ConfigurationSeries,
    /// The store does not respond for a moment; then the first gateway of each data centre is
    /// suspended, while new configurations are written in quick succession.
    FirstsPause,
    /// A server of a service of its own sends without end, beside the others.
    ServerEndless,
    /// The store sends without end to a gateway.
    StoreEndless,
    /// Callers send without end to a gateway.
    CallersEndless,
    /// Gateways that are none of the fleet send without end to a gateway.
    PeersEndless,
    /// The servers of a group halt, cut off, refuse or lose answers together.
    GroupTrouble,
    /// The servers of a group are replaced one after the other.
    GroupRelease,
    /// A server leaves in one of the ways of the platform, serves for some time and ends; another
    /// server replaces it, and its address may go to a server of another service.
    ServerEnds,
    /// The servers of a group leave and are replaced one after the other. As each ends, the others
    /// stand still, cut off what they run, and refuse requests until the group is whole.
    LockStepRelease,
    /// A gateway receives `SIGTERM` again and again, soon after its next process has started.
    StopAgain,
}

/// All kinds, with their names for `--faults`.
pub const FAULT_KINDS: [(&str, FaultKind); 52] = [
    ("kill", FaultKind::Kill),
    ("off", FaultKind::Off),
    ("kill-all", FaultKind::KillAll),
    ("pause", FaultKind::Pause),
    ("stop", FaultKind::Stop),
    ("hang-up", FaultKind::HangUp),
    ("store-busy", FaultKind::StoreBusy),
    ("store-silent", FaultKind::StoreSilent),
    ("store-loses-answers", FaultKind::StoreLosesAnswers),
    ("store-turns-away", FaultKind::StoreTurnsAway),
    ("store-forgets", FaultKind::StoreForgets),
    ("store-drill", FaultKind::StoreDrill),
    ("store-mute", FaultKind::StoreMute),
    ("store-reset", FaultKind::StoreReset),
    ("store-slow", FaultKind::StoreSlow),
    ("store-holds-requests", FaultKind::StoreHoldsRequests),
    ("store-holds-answers", FaultKind::StoreHoldsAnswers),
    ("server-mute", FaultKind::ServerMute),
    ("server-reset", FaultKind::ServerReset),
    ("server-slow", FaultKind::ServerSlow),
    ("server-holds-requests", FaultKind::ServerHoldsRequests),
    ("server-holds-answers", FaultKind::ServerHoldsAnswers),
    ("server-crash", FaultKind::ServerCrash),
    ("server-drain", FaultKind::ServerDrain),
    ("server-refuses", FaultKind::ServerRefuses),
    ("server-fails", FaultKind::ServerFails),
    ("server-loses-answers", FaultKind::ServerLosesAnswers),
    ("server-answers-twice", FaultKind::ServerAnswersTwice),
    ("server-forges", FaultKind::ServerForges),
    ("crashing-request", FaultKind::CrashingRequest),
    ("crashing-part", FaultKind::CrashingPart),
    ("server-unframed", FaultKind::ServerUnframed),
    ("server-asks-rest", FaultKind::ServerAsksRest),
    ("server-says-it-leaves", FaultKind::ServerSaysItLeaves),
    ("server-names-limit", FaultKind::ServerNamesLimit),
    ("evacuation", FaultKind::Evacuation),
    ("server-returns-cold", FaultKind::ServerReturnsCold),
    ("overload", FaultKind::Overload),
    ("restart-series", FaultKind::RestartSeries),
    ("kill-series", FaultKind::KillSeries),
    ("planned-series", FaultKind::PlannedSeries),
    ("configuration-series", FaultKind::ConfigurationSeries),
    ("firsts-pause", FaultKind::FirstsPause),
    ("server-endless", FaultKind::ServerEndless),
    ("store-endless", FaultKind::StoreEndless),
    ("callers-endless", FaultKind::CallersEndless),
    ("peers-endless", FaultKind::PeersEndless),
    ("group-trouble", FaultKind::GroupTrouble),
    ("group-release", FaultKind::GroupRelease),
    ("server-ends", FaultKind::ServerEnds),
    ("lock-step-release", FaultKind::LockStepRelease),
    ("stop-again", FaultKind::StopAgain),
];

impl FaultKind {
    /// Whether the store does not serve gateways as usual during the fault.
    pub fn affects_store(self) -> bool {
        matches!(
            self,
            FaultKind::StoreBusy
                | FaultKind::StoreSilent
                | FaultKind::StoreLosesAnswers
                | FaultKind::StoreTurnsAway
                | FaultKind::StoreForgets
                | FaultKind::StoreDrill
                | FaultKind::StoreMute
                | FaultKind::StoreReset
                | FaultKind::StoreSlow
                | FaultKind::StoreHoldsRequests
                | FaultKind::StoreHoldsAnswers
                | FaultKind::StoreEndless
        )
    }

    /// Whether a peer other than the store sends without end; that excuses nothing.
    pub fn is_endless(self) -> bool {
        matches!(
            self,
            FaultKind::ServerEndless | FaultKind::CallersEndless | FaultKind::PeersEndless
        )
    }
}

impl FaultKind {
    /// Whether the store does not serve any gateway as usual during the fault.
    pub fn affects_whole_store(self) -> bool {
        self.affects_store() && !self.affects_path_to_store()
    }

    /// Whether the store does not serve one gateway as usual during the fault, or the connections
    /// between them are disturbed.
    pub fn affects_path_to_store(self) -> bool {
        matches!(
            self,
            FaultKind::StoreTurnsAway
                | FaultKind::StoreMute
                | FaultKind::StoreReset
                | FaultKind::StoreSlow
                | FaultKind::StoreHoldsRequests
                | FaultKind::StoreHoldsAnswers
                | FaultKind::StoreEndless
        )
    }
}

impl Display for FaultKind {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> std::fmt::Result {
        let named = FAULT_KINDS.iter().find(|(_, kind)| kind == self);
        formatter.write_str(named.map_or("", |(name, _)| name))
    }
}

impl FromStr for FaultKind {
    type Err = String;

    fn from_str(text: &str) -> Result<FaultKind, String> {
        let named = FAULT_KINDS.iter().find(|(name, _)| *name == text);
        named.map(|(_, kind)| *kind).ok_or_else(|| {
            let names: Vec<&str> = FAULT_KINDS.iter().map(|(name, _)| *name).collect();
            format!("`{text}` is not a fault; the faults are {}", names.join(", "))
        })
    }
}
