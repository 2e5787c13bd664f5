//! Decisions of a gateway that sends requests directly to backend servers.
//! Input are requests, answers, and messages of peers and of the platform's store.
//! Each module holds the state of one of these decisions.
//!
//! In this mode no process of ours runs beside a backend server. The server itself reports which
//! requests it did not run, and the gateways together hold all other state:
//!
//! - [`serving`]: the configuration in force: routes, accounts, limits.
//! - [`replica`]: replica of a table of the platform, from the store or from peers.
//! - [`follow_calls`]: how long calls to the store may wait for changes of a table.
//! - [`table_age`]: how long ago a replica was known to be complete.
//! - [`unconfirmed`]: rows that the platform's store lost, until they are written again or lapse.
//! - [`members`]: membership of the gateways and failure detection.
//! - [`pool`]: choice of the backend server for a request.
//! - [`server_notices`]: notices of a backend server that it backs off or is leaving.
//! - [`advertised_limit`], [`permits`]: limits that backend servers advertise for all gateways
//!   together.
//! - [`shared_faults`]: faults of servers that any gateway observed, and servers to avoid.
//! - [`queue_wait`]: whether a request would begin in time at a server that has a queue.
//! - [`slow_servers`]: reports of slow backend servers, which gateways gossip.
//! - [`admission`]: number of streams that a service can carry, from the duration of its passes.
//! - [`room`]: what gateways report of the demand for a service, and what its servers can carry.
//! - [`level`]: which share of the demand all gateways admit, in which order, and who is refused.
//! - [`planned_stop`]: which requests a gateway accepts while it stops, and when its process ends.
//! - [`service_times`]: how long the requests of each route take until their callers have the answers.
//! - [`attempts`]: what follows an attempt: an answer, another attempt, or a refusal.
//! - [`fingerprint`]: identifies retries of one request.
//! - [`answer_heads`]: what delimits the body of an answer, and heads that are malformed.
//! - [`line_ends`]: whether the lines of a head end in one way only.
//! - [`answer_ends`]: whether an answer that has ended is complete.
//! - [`overtaken`]: requests at a server that does not respond while others answer later ones.
//! - [`truncated_answers`]: truncated answers, and requests that were at a server when it crashed.
//! - [`unconfirmed_endings`]: attempts that were abandoned, until their server answers again.
//! - [`crashes`]: requests that crash the servers that run them, from reports of all gateways.
//! - [`outage`]: time after which callers retry while no server can accept a request.
//! - [`body_memory`]: memory that the bodies of requests may take.
//! - [`budget`]: number of retries after failures, over a sliding window.
//! - [`expert_demand`], [`expert_plan`], [`expert_layout`], [`holders`]: how often experts are
//!   chosen, and which ranks are to hold them.
//! - [`count_deltas`]: snapshots of the expert counters, sent as deltas.
//! - [`map_orders`]: orders that change the expert map of a group.
//! - [`fencing`]: tokens by which servers recognise the present leader.
//! - [`relays`]: gateways that relay orders which no machine of the group is to send.
//! - [`passes`]: duration of the passes of groups.
//! - [`events`]: a stream of events, split between events only.

pub mod admission;
pub mod advertised_limit;
pub mod answer_ends;
pub mod answer_heads;
pub mod attempts;
pub mod body_memory;
pub mod budget;
pub mod count_deltas;
pub mod crashes;
pub mod evacuations;
pub mod events;
pub mod expert_demand;
pub mod expert_layout;
pub mod expert_plan;
pub mod fencing;
pub mod fingerprint;
pub mod follow_calls;
pub mod holders;
pub mod level;
pub mod line_ends;
pub mod map_orders;
pub mod members;
pub mod outage;
pub mod overtaken;
pub mod passes;
pub mod permits;
pub mod planned_stop;
pub mod pool;
pub mod queue_wait;
pub mod relays;
pub mod replica;
pub mod room;
pub mod server_notices;
pub mod service_times;
pub mod serving;
pub mod shared_faults;
pub mod slow_servers;
pub mod table_age;
pub mod truncated_answers;
pub mod unconfirmed;
pub mod unconfirmed_endings;
pub mod unread_answers;
