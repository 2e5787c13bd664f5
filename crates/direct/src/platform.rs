//! Interface to the platform that a gateway runs on.
//! Input are calls of the gateway's tasks; the state is held by the implementation.
//! An implementation decides how tables, claims, crashes and engine requests are represented.

use std::fmt;
use std::future::Future;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use hooktrestle_core::clock::Millis;
use hooktrestle_core::direct::count_deltas::Counts;
use hooktrestle_core::direct::crashes::Crash;
use hooktrestle_core::direct::fingerprint::Fingerprint;
use hooktrestle_core::direct::follow_calls::FollowCall;
use hooktrestle_core::direct::map_orders::FencedOrder;
use hooktrestle_core::direct::map_orders::RankReport;
use hooktrestle_core::direct::map_orders::Reply;
use hooktrestle_core::direct::pool::ListedServer;
use hooktrestle_core::direct::replica::Replica;
use hooktrestle_core::direct::replica::Revision;
use hooktrestle_core::direct::replica::Update;
use hooktrestle_core::direct::serving::ServingConfig;
use http::HeaderName;
use http::HeaderValue;
use http::Method;
use http::Uri;

/// A table of the platform that every gateway follows.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum Table {
    /// The configuration, which operators write.
    Configuration,
    /// The backend servers; each writes its own row.
    Servers,
    /// The gateways; each writes its own row.
    Members,
}

impl Table {
    /// All tables.
    pub const ALL: [Table; 3] = [Table::Configuration, Table::Servers, Table::Members];

    /// Name of the table in messages between gateways.
    pub fn name(self) -> &'static str {
        match self {
            Table::Configuration => "configuration",
            Table::Servers => "servers",
            Table::Members => "members",
        }
    }

    /// The table with a name.
    pub fn of_name(name: &str) -> Option<Table> {
        Table::ALL.into_iter().find(|table| table.name() == name)
    }
}

/// Maximum number of rows of gateways in one call.
pub const MAX_MEMBER_ROWS: usize = 100;

/// Why a call to the platform failed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Failure {
    /// No connection, or none in time.
    Unreachable,
    /// The store refused the call, and nothing was done.
    Refused(u16),
    /// No answer in time: the call may have taken effect, or may do so later.
    Lost,
    /// The connection ended before the answer: as [`Failure::Lost`].
    Disconnected,
    /// The requested history is not available any more: the table has to be read anew.
    HistoryGone,
    /// The answer is malformed.
    Malformed,
    /// The answer, or the table, is larger than this process has room for. The call may have taken
    /// effect.
    TooLarge,
}

impl Failure {
    /// Whether the call got a response, so that its connection is used again.
    pub fn is_response(self) -> bool {
        match self {
            Failure::Refused(_) | Failure::HistoryGone | Failure::Malformed => true,
            Failure::Unreachable | Failure::Lost | Failure::Disconnected | Failure::TooLarge => {
                false
            }
        }
    }
}

impl fmt::Display for Failure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Failure::Unreachable => write!(f, "the store is unreachable"),
            Failure::Refused(status) => write!(f, "the store refused with status {status}"),
            Failure::Lost => write!(f, "the store gave no answer in time"),
            Failure::Disconnected => {
                write!(f, "the connection to the store ended before its answer")
            }
            Failure::HistoryGone => {
                write!(f, "the requested history of the store is not available any more")
            }
            Failure::Malformed => write!(f, "the store's answer is malformed"),
            Failure::TooLarge => write!(f, "the store's answer is too large"),
        }
    }
}

impl std::error::Error for Failure {}

/// An instance that claims leadership.
#[derive(Clone, Copy, Debug)]
pub struct Claimant<'a> {
    /// Name of the instance.
    pub holder: &'a str,
    /// Its process.
    pub incarnation: u64,
    /// The highest fencing token that the instance holds or knows of; 0 if none.
    pub newest_token: u64,
    /// A holder whose process has been replaced, by its instance and process: its claim is void.
    pub replaced: Option<(&'a str, u64)>,
}

/// Result of a claim.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Claim {
    /// The claim is in force, with a fencing token that is higher than all earlier ones.
    Held(u64),
    /// Another instance has a recent claim, or one with a higher token.
    HeldBy(MapHolder),
}

/// The holder of a claim.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct MapHolder {
    /// Name of its instance.
    pub name: String,
    /// Its process, as in [`Member::incarnation`]; 0 if unknown.
    ///
    /// [`Member::incarnation`]: hooktrestle_core::direct::members::Member::incarnation
    pub incarnation: u64,
    /// For how much longer the claim is protected.
    pub protected_for: Millis,
}

/// Identifies a stored row of crashes.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct CrashRowKey {
    /// The request, or the part of prompts.
    pub fingerprint: Fingerprint,
    /// The gateway that got truncated answers, if it is not known yet whether the servers have crashed.
    pub unconfirmed_by: Option<u64>,
}

/// Crashes at which one request was present, as the platform stores them for gateways that start
/// later.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StoredCrashes {
    /// Its row.
    pub key: CrashRowKey,
    /// The crashes, without the other requests that were present.
    pub crashes: Vec<Crash>,
    /// Number of attempts of the request that ended without a crash.
    pub ended_attempts: u32,
}

/// A row of a table whose value is invalid.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Malformed {
    /// Key of the row.
    pub key: String,
    /// What is wrong with it.
    pub reason: String,
}

impl fmt::Display for Malformed {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "row `{}`: {}", self.key, self.reason)
    }
}

impl std::error::Error for Malformed {}

/// A caller's request for the list of gateways. Fields that it omits are empty.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct EndpointsQuery {
    /// Host of the requests that the caller is about to send.
    pub host: String,
    /// Region of the caller.
    pub region: String,
    /// Data centre of the caller.
    pub data_centre: String,
}

/// A request to an engine, other than the requests of callers.
#[derive(Clone, Copy, Debug)]
pub enum EngineRequest<'a> {
    /// Its report.
    Report,
    /// How often each expert was chosen.
    Counts,
    /// The experts of its rank.
    Experts,
    /// An order. An order to prepare a map comes with the map: experts by set and rank.
    Order(&'a FencedOrder, &'a [Vec<Vec<u16>>]),
}

/// Report of an engine.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineReport {
    /// Its group.
    pub group: String,
    /// Its rank in the group.
    pub rank: usize,
    /// Number of ranks in the group.
    pub size: usize,
    /// Duration of its work, relative to the usual duration.
    pub pace: f64,
    /// Requests that it runs.
    pub running: u32,
    /// Requests that wait at it.
    pub queued: u32,
    /// State of the rank.
    pub state: RankReport,
}

/// Names of the headers that callers, gateways and backend servers use.
#[derive(Clone, Debug)]
pub struct HeaderNames {
    /// Identifier of a request, in the request and in its answer.
    pub request_id: HeaderName,
    /// Milliseconds for which the sender waits.
    pub deadline_ms: HeaderName,
    /// The client account, for backend servers.
    pub account: HeaderName,
    /// The only server that is to run the request.
    pub expect_server: HeaderName,
    /// Priority of a request, for backend servers.
    pub priority: HeaderName,
    /// In an answer: the request was not run and will not be.
    pub not_run: HeaderName,
    /// In an answer: the server's proof that it sent the answer.
    pub signature: HeaderName,
    /// In an answer, `1`: the server is leaving.
    pub leaving: HeaderName,
    /// In an answer: requests per second that the server accepts from all gateways together.
    pub limit: HeaderName,
    /// In an answer: running requests, waiting requests, slots.
    pub load: HeaderName,
    /// In a request for a stream: the last event that the caller received.
    pub last_event_id: HeaderName,
    /// Tokens of the prompt, and maximum number of tokens of the answer.
    pub token_counts: HeaderName,
    /// The caller's estimate of the number of tokens of the answer.
    pub length_hint: HeaderName,
    /// Parts of a request's prompt in order: `ID:TOKENS`, separated by commas. The last one is the
    /// request's own, the others may be shared.
    pub prompt_parts: HeaderName,
}

impl HeaderNames {
    /// The headers between callers and servers, which belong to no single connection.
    pub fn end_to_end(&self) -> [&HeaderName; 7] {
        [
            &self.request_id,
            &self.deadline_ms,
            &self.signature,
            &self.last_event_id,
            &self.token_counts,
            &self.length_hint,
            &self.prompt_parts,
        ]
    }
}

/// The platform that a gateway runs on.
pub trait Platform: 'static {
    /// Names of headers.
    fn headers(&self) -> &HeaderNames;

    /// The latest era in an answer of the store: how often it was restored from an older copy.
    fn store_era(&self) -> u64;

    /// Reads a complete table.
    fn read(&self, table: Table) -> impl Future<Output = Result<Update, Failure>>;

    /// Waits for changes after `revision`. The history is not available once the store is in another
    /// era.
    fn follow(
        &self,
        table: Table,
        revision: Revision,
        call: FollowCall,
    ) -> impl Future<Output = Result<Update, Failure>>;

    /// Writes or removes rows of gateways in [`Table::Members`], at most [`MAX_MEMBER_ROWS`]; returns
    /// the era of the write.
    fn write_members(
        &self,
        rows: &[(String, Option<String>)],
    ) -> impl Future<Output = Result<u64, Failure>>;

    /// Claims leadership of a service's expert maps, unless another instance did so less than
    /// `protected` ago and its process has not been replaced.
    fn claim_map_leadership(
        &self,
        service: &str,
        claimant: &Claimant<'_>,
        protected: Millis,
    ) -> impl Future<Output = Result<Claim, Failure>>;

    /// Writes a claim again that the store may have lost, with its previous token, unless the store
    /// holds a claim with a higher token.
    fn renew_map_leadership(
        &self,
        service: &str,
        claimant: &Claimant<'_>,
    ) -> impl Future<Output = Result<Claim, Failure>>;

    /// Reads which requests were present at crashes of servers.
    fn read_crashes(&self) -> impl Future<Output = Result<Vec<StoredCrashes>, Failure>>;

    /// Stores some requests with their crashes, and removes others.
    fn write_crashes(
        &self,
        stored: &[StoredCrashes],
        removed: &[CrashRowKey],
    ) -> impl Future<Output = Result<(), Failure>>;

    /// Encodes a request to an engine.
    fn encode_engine_request(&self, request: &EngineRequest<'_>) -> (Method, Uri, Bytes);

    /// Decodes an engine's report; `None` if the engine belongs to no group.
    fn engine_report(&self, body: &[u8]) -> Option<EngineReport>;

    /// Decodes an engine's counts.
    fn engine_counts(&self, body: &[u8]) -> Option<Counts>;

    /// Decodes the version of a rank's map, and its experts set by set.
    fn engine_experts(&self, body: &[u8]) -> Option<(u64, Vec<Vec<u16>>)>;

    /// Meaning of the status of an answer to an order.
    fn engine_order_reply(&self, status: u16) -> Reply;

    /// The configuration in a replica of [`Table::Configuration`], if there is one.
    ///
    /// # Errors
    ///
    /// The configuration is invalid; the one in force stays.
    fn serving(&self, replica: &Replica) -> Result<Option<ServingConfig>, Malformed>;

    /// The data centre that a row of [`Table::Configuration`] with this key evacuates; `None` for
    /// other rows.
    fn evacuated_data_centre(&self, key: &str) -> Option<String>;

    /// Decodes a row of [`Table::Servers`].
    ///
    /// # Errors
    ///
    /// The row is invalid, and is ignored.
    fn listed(&self, id: &str, value: &str) -> Result<ListedServer, Malformed>;

    /// Whether this status of an answer guarantees that it came from a server other than the
    /// expected one.
    fn is_other_server(&self, status: u16) -> bool;

    /// A caller's request for the list of gateways; `None` for any other request.
    fn asks_for_endpoints(&self, path: &str, query: &str) -> Option<EndpointsQuery>;

    /// The region of a data centre; empty if it is not known.
    fn region_of(&self, data_centre: &str) -> &str;

    /// The list of gateways for a caller, which may cache it for `ttl`, with its media type.
    fn endpoints(&self, addresses: &[SocketAddr], ttl: Duration) -> (HeaderValue, Bytes);

    /// Whether a path requests readiness.
    fn asks_for_readiness(&self, path: &str) -> bool;
}
