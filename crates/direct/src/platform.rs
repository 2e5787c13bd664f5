//! What a gateway needs of the platform that it runs on.

use std::fmt;
use std::future::Future;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use hooktrestle_core::clock::Millis;
use hooktrestle_core::direct::count_deltas::Counts;
use hooktrestle_core::direct::crashes::Crash;
use hooktrestle_core::direct::fingerprint::Fingerprint;
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
    /// The backend servers, which list themselves.
    Servers,
    /// The gateways, which list themselves.
    Members,
}

impl Table {
    /// All tables.
    pub const ALL: [Table; 3] = [Table::Configuration, Table::Servers, Table::Members];

    /// Its name between gateways.
    pub fn name(self) -> &'static str {
        match self {
            Table::Configuration => "configuration",
            Table::Servers => "servers",
            Table::Members => "members",
        }
    }

    /// The table of a name.
    pub fn of_name(name: &str) -> Option<Table> {
        Table::ALL.into_iter().find(|table| table.name() == name)
    }
}

/// Why a call to the platform gave nothing.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Failure {
    /// No connection, or none in time.
    Unreachable,
    /// It refused; nothing was done.
    Refused(u16),
    /// No answer: what was asked may have been done, or may be done later.
    Lost,
    /// The history that was asked for is gone: read the table anew.
    HistoryGone,
    /// The answer makes no sense.
    Malformed,
}

impl fmt::Display for Failure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Failure::Unreachable => write!(f, "the store cannot be reached"),
            Failure::Refused(status) => write!(f, "the store refused with status {status}"),
            Failure::Lost => write!(f, "the store gave no answer in time"),
            Failure::HistoryGone => write!(f, "the store's history is gone"),
            Failure::Malformed => write!(f, "the store's answer makes no sense"),
        }
    }
}

impl std::error::Error for Failure {}

/// Who claims.
#[derive(Clone, Copy, Debug)]
pub struct Claimant<'a> {
    /// Name of the instance.
    pub holder: &'a str,
    /// The highest fencing token that it has or has heard of; 0 if none.
    pub newest_token: u64,
}

/// What became of a claim.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Claim {
    /// It stands, with a fencing token that is higher than all before it.
    Held(u64),
    /// Another instance has claimed, not long ago or with a higher token.
    HeldBy(String),
}

/// Crashes at which one request was, as the platform keeps them for gateways that start later.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StoredCrashes {
    /// The request.
    pub fingerprint: Fingerprint,
    /// The crashes, without what ran beside it.
    pub crashes: Vec<Crash>,
}

/// A value of a table that cannot be understood.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Malformed {
    /// The row.
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

/// What an engine is asked beside requests.
#[derive(Clone, Copy, Debug)]
pub enum EngineRequest<'a> {
    /// Its report.
    Report,
    /// How often each expert was chosen.
    Counts,
    /// Which experts its rank holds.
    Experts,
    /// To do something; the map goes with an order to prepare one: experts by set and rank.
    Order(&'a FencedOrder, &'a [Vec<Vec<u16>>]),
}

/// An engine as it reports itself.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineReport {
    /// Its group.
    pub group: String,
    /// Its place there.
    pub rank: usize,
    /// Ranks of the group.
    pub size: usize,
    /// How long its work takes, over the usual time.
    pub pace: f64,
    /// The state of the rank.
    pub state: RankReport,
}

/// Names of the headers that callers, gateways and backend servers agree on.
#[derive(Clone, Debug)]
pub struct HeaderNames {
    /// Names a request, and its answer.
    pub request_id: HeaderName,
    /// Milliseconds that the sender will wait.
    pub deadline_ms: HeaderName,
    /// The client account, for backend servers.
    pub account: HeaderName,
    /// The one server that shall run the request.
    pub expect_server: HeaderName,
    /// How urgent a request is, for backend servers.
    pub priority: HeaderName,
    /// In an answer: the request was not run and will not be.
    pub not_run: HeaderName,
    /// In an answer: the server's proof that the answer is its own.
    pub signature: HeaderName,
    /// In an answer, `1`: the server leaves.
    pub leaving: HeaderName,
    /// In an answer: requests a second that the server takes from all gateways together.
    pub limit: HeaderName,
    /// In an answer: requests running, requests waiting, slots.
    pub load: HeaderName,
    /// In a request for a stream: the last event that the caller has.
    pub last_event_id: HeaderName,
    /// Tokens of the prompt, and most tokens of the answer.
    pub token_counts: HeaderName,
    /// The caller's guess of the answer's tokens.
    pub length_hint: HeaderName,
}

/// The platform that a gateway runs on.
pub trait Platform: 'static {
    /// Names of headers.
    fn headers(&self) -> &HeaderNames;

    /// The latest era that an answer of the store was from: how often it has come back from an older
    /// copy of itself.
    fn store_era(&self) -> u64;

    /// Reads a table whole.
    fn read(&self, table: Table) -> impl Future<Output = Result<Update, Failure>>;

    /// Waits for changes after `revision`, `wait` at most; the history is gone as soon as the store is in
    /// another era.
    fn follow(
        &self,
        table: Table,
        revision: Revision,
        wait: Duration,
    ) -> impl Future<Output = Result<Update, Failure>>;

    /// Writes or removes the row of a gateway in [`Table::Members`]; returns the era in which that was done.
    fn write_member(
        &self,
        name: &str,
        value: Option<&str>,
    ) -> impl Future<Output = Result<u64, Failure>>;

    /// Claims the lead of a service's expert maps, unless another instance did so less than `protected` ago.
    fn claim_map_leadership(
        &self,
        service: &str,
        claimant: &Claimant<'_>,
        protected: Millis,
    ) -> impl Future<Output = Result<Claim, Failure>>;

    /// Writes a claim again that the store may have lost, with the token that it had; not where a claim
    /// with a higher token stands.
    fn renew_map_leadership(
        &self,
        service: &str,
        claimant: &Claimant<'_>,
    ) -> impl Future<Output = Result<Claim, Failure>>;

    /// Reads which requests were at crashes of servers.
    fn read_crashes(&self) -> impl Future<Output = Result<Vec<StoredCrashes>, Failure>>;

    /// Keeps some of these, and removes others.
    fn write_crashes(
        &self,
        kept: &[StoredCrashes],
        gone: &[Fingerprint],
    ) -> impl Future<Output = Result<(), Failure>>;

    /// How an engine is asked.
    fn encode_engine_request(&self, ask: &EngineRequest<'_>) -> (Method, Uri, Bytes);

    /// An engine's report; `None` if it belongs to no group.
    fn engine_report(&self, body: &[u8]) -> Option<EngineReport>;

    /// An engine's counts.
    fn engine_counts(&self, body: &[u8]) -> Option<Counts>;

    /// The version of a rank's map, and its experts set by set.
    fn engine_experts(&self, body: &[u8]) -> Option<(u64, Vec<Vec<u16>>)>;

    /// What the status of an answer to an order means.
    fn engine_order_reply(&self, status: u16) -> Reply;

    /// The configuration that a replica of [`Table::Configuration`] holds, if any.
    ///
    /// # Errors
    ///
    /// It cannot be understood; the one in force stays.
    fn serving(&self, replica: &Replica) -> Result<Option<ServingConfig>, Malformed>;

    /// A row of [`Table::Servers`].
    ///
    /// # Errors
    ///
    /// It cannot be understood; the row is passed over.
    fn listed(&self, id: &str, value: &str) -> Result<ListedServer, Malformed>;

    /// Whether an answer of this status promises that the server it came from is not the one that
    /// was expected.
    fn is_other_server(&self, status: u16) -> bool;

    /// The data centre of a caller that asks which gateways to use; `None` if that is not what is
    /// asked.
    fn asks_for_endpoints(&self, path: &str, query: &str) -> Option<String>;

    /// The answer to that, with its media type.
    fn endpoints(&self, found: &[SocketAddr], keep: Duration) -> (HeaderValue, Bytes);

    /// Whether a path asks for readiness.
    fn asks_for_readiness(&self, path: &str) -> bool;
}
