//! Room of a service: how many streams its servers carry within the objective, and how many are
//! open. Input: reports of gateways and of ranks. State: the newest report of each.
//! Decides how much room is left, and what all gateways are told about each server and group.
//!
//! One gateway keeps the room of a service: the leader of its expert maps, or the first gateway
//! that serves if there is none. The others send it a [`GatewayReport`] at short intervals, and get
//! a [`RoomNotice`].
//!
//! - [`groups`]: lengths of passes, open groups and occupied servers, from the reports of ranks.
//! - [`estimate`]: how many streams the groups and servers carry within the objective.
//! - [`keeper`]: what the keeper knows, and its notices.
//! - [`view`]: what each gateway counts for its reports, and the newest notice that it has.

pub mod estimate;
pub mod groups;
pub mod keeper;
pub mod view;

use crate::clock::Millis;
use crate::direct::crashes::ServerIncarnation;
use crate::direct::level::Level;
use crate::direct::members::IncarnationId;
use crate::direct::members::Member;

/// Number of urgencies that streams have, from 0, the most urgent: their order by the priority of the
/// account, then of the route, as [`ServingConfig::urgency`] counts it.
///
/// [`ServingConfig::urgency`]: crate::direct::serving::ServingConfig::urgency
pub const URGENCIES: usize = 10;

/// Maximum number of client accounts in a report.
pub const MAX_REPORTED_ACCOUNTS: usize = 16;

/// Shortest time between two reports of one gateway.
const MIN_REPORT_INTERVAL: Millis = Millis(200);

/// Reports per second that a keeper gets at most from all gateways together.
const MAX_REPORTS_PER_S: u64 = 300;

/// Time between two reports of a gateway without streams. Less than the time for which the keeper
/// counts the report.
const IDLE_REPORT_INTERVAL: Millis = Millis(700);

/// Shortest time for which a keeper counts a report.
const MIN_REPORT_LIFETIME: Millis = Millis(1_000);

/// Shortest time for which a gateway follows a notice.
const MIN_NOTICE_LIFETIME: Millis = Millis(1_500);

/// Time between two reports of a gateway, of this number of gateways. `is_active` is whether it has
/// open streams or got requests for streams in the last second.
pub fn report_interval(gateways: usize, is_active: bool) -> Millis {
    let shared = Millis(gateways as u64 * 1_000 / MAX_REPORTS_PER_S).max(MIN_REPORT_INTERVAL);
    if is_active { shared } else { shared.max(IDLE_REPORT_INTERVAL) }
}

/// Time for which a keeper counts a report of one of this number of gateways.
pub fn report_lifetime(gateways: usize) -> Millis {
    let interval = report_interval(gateways, false);
    MIN_REPORT_LIFETIME.max(interval + report_interval(gateways, true))
}

/// Time for which one of this number of gateways follows a notice.
pub fn notice_lifetime(gateways: usize) -> Millis {
    MIN_NOTICE_LIFETIME.max(report_lifetime(gateways) + report_interval(gateways, true))
}

/// Odd factor that spreads the bits of a digest.
const DIGEST_FACTOR: u64 = 0x9e37_79b9_7f4a_7c15;

/// The gateway that keeps the room of a service: of the gateways that serve, in the order in which
/// they grant permits and without those that do not answer, the leader of expert maps with the
/// highest fencing token if the service has experts, else the first.
pub fn choose_keeper<'a>(
    serving: &[&'a Member],
    has_experts: bool,
    is_skipped: impl Fn(IncarnationId) -> bool,
) -> Option<&'a Member> {
    let answering = || serving.iter().filter(|member| !is_skipped(member.incarnation_id()));
    let leaders = answering().filter(|member| has_experts && member.leader_fencing_token > 0);
    let leader = leaders.max_by_key(|member| member.leader_fencing_token);
    leader.or_else(|| answering().next()).copied()
}

/// A client account, identified in the same way at all gateways.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct AccountId(pub u64);

/// One gateway's view of a service since its last report.
#[derive(Clone, Debug, PartialEq)]
pub struct GatewayReport {
    /// The gateway.
    pub gateway: IncarnationId,
    /// Time over which requests were counted.
    pub span: Millis,
    /// Streams that it has admitted and that have not ended.
    pub open_streams: u32,
    /// Streams that ended.
    pub ended_streams: u32,
    /// Requests by urgency, admitted or not, without those that arrived in their turn.
    pub arrivals: [u32; URGENCIES],
    /// Requests that arrived in their turn after a refusal.
    pub turns: u32,
    /// Client accounts with the most requests.
    pub accounts: Vec<(AccountId, u32)>,
    /// Mean duration of a stream; 0 if unknown.
    pub stream_ms: f64,
    /// Mean time to the first event of a stream; 0 if unknown.
    pub first_ms: f64,
    /// Mean pause between events plus its mean deviation; 0 if unknown.
    pub pass_ms: f64,
    /// The list of servers that it has; 0 if none.
    pub known_list: u64,
}

impl GatewayReport {
    /// The rate of what was counted `count` times in the span of the report.
    fn per_s(&self, count: u32) -> f64 {
        f64::from(count) * 1_000.0 / self.span.0.max(1) as f64
    }
}

/// A group of ranks that make each pass together; a server without ranks is a group of its own.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct GroupState {
    /// Whether it runs passes.
    pub is_open: bool,
    /// Length of its passes; 0 if unknown.
    pub pass_ms: f64,
    /// Number of streams that it carries within the objective.
    pub room: u32,
}

/// The servers of a service and their groups, in the order of [`RoomNotice::occupied`].
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ServerList {
    /// Identifies the list; 0 for an empty one.
    pub number: u64,
    /// Each server with the index of its group.
    pub servers: Vec<(ServerIncarnation, usize)>,
}

impl ServerList {
    /// The list of these servers, with a number that follows from its content.
    pub fn new(servers: Vec<(ServerIncarnation, usize)>) -> ServerList {
        let digest = servers.iter().fold(servers.len() as u64, |digest, (server, group)| {
            let mixed = (digest ^ server.0 ^ (*group as u64) << 48).wrapping_mul(DIGEST_FACTOR);
            mixed ^ mixed >> 29
        });
        let number = if servers.is_empty() { 0 } else { digest.max(1) };
        ServerList { number, servers }
    }
}

/// What the keeper of a service's room tells the other gateways.
#[derive(Clone, Debug, PartialEq)]
pub struct RoomNotice {
    /// Fencing token of the keeper's leadership; 0 if it leads no maps. Notices with a higher token
    /// replace others, then those with a higher number.
    pub keeper: u64,
    /// Rises with each notice of one keeper.
    pub number: u64,
    /// Clock that all gateways share, at the time of the notice.
    pub clock: Millis,
    /// Which requests are admitted.
    pub level: Level,
    /// Number of the list that `occupied` refers to; 0 if there is none.
    pub list_number: u64,
    /// The list, if the receiver lacks it.
    pub list: Option<ServerList>,
    /// For each server of the list: requests running and queued.
    pub occupied: Vec<u32>,
    /// State of each group.
    pub groups: Vec<GroupState>,
    /// Time since `occupied` and `groups` were read.
    pub age: Millis,
}
