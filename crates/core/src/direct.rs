//! Decisions of a gateway that sends requests straight to backend servers.
//!
//! Where no process of ours stands beside a backend server, the server itself says what it did not
//! run, and the gateways between them hold everything else:
//!
//! - [`serving`]: the configuration in force: routes, accounts, limits.
//! - [`replica`]: a table of the platform as this process knows it, from the store or from peers.
//! - [`unconfirmed`]: rows that the platform's store has lost, until they are written again.
//! - [`members`]: which gateways there are.
//! - [`pool`]: which backend server gets a request.
//! - [`server_notices`]: what a backend server asks of this gateway: a rest, or nothing more.
//! - [`advertised_limit`], [`permits`]: how many requests a backend server takes from all gateways together.
//! - [`slow_servers`]: which backend servers are slow, as one gateway finds and all tell each other.
//! - [`admission`]: how many streams a service bears, by how long its passes take.
//! - [`attempts`]: what follows an attempt: answer, another attempt, or a refusal.
//! - [`fingerprint`]: tells a request that comes again.
//! - [`overtaken`]: requests at a server that says nothing while later ones are answered elsewhere.
//! - [`truncated_answers`]: answers that broke off, and what was at a server as it crashed.
//! - [`crashes`]: requests that crash the servers that run them, by what all gateways saw.
//! - [`outage`]: when callers come back while no server can take a request.
//! - [`budget`]: how many repeats failures may cost, over a sliding window.
//! - [`expert_demand`], [`expert_plan`], [`expert_layout`], [`holders`]: how often experts are chosen,
//!   and which rank shall hold which.
//! - [`count_deltas`]: how often experts were chosen, told as what came since.
//! - [`map_orders`]: how that is changed.
//! - [`fencing`]: tokens by which servers tell who leads now.
//! - [`relays`]: gateways through which orders go that no machine of their group should give.
//! - [`passes`]: how long the passes of groups take.
//! - [`events`]: a stream of events, cut between events only.

pub mod admission;
pub mod advertised_limit;
pub mod attempts;
pub mod budget;
pub mod count_deltas;
pub mod crashes;
pub mod events;
pub mod expert_demand;
pub mod expert_layout;
pub mod expert_plan;
pub mod fencing;
pub mod fingerprint;
pub mod holders;
pub mod map_orders;
pub mod members;
pub mod outage;
pub mod overtaken;
pub mod passes;
pub mod permits;
pub mod pool;
pub mod relays;
pub mod replica;
pub mod server_notices;
pub mod serving;
pub mod slow_servers;
pub mod truncated_answers;
pub mod unconfirmed;
