//! Peers that send without end, beside sound callers and servers.
//! Input: a fault with its target. State: the server in trouble. Decides where the bytes without end begin,
//! and whether requests to a server in trouble end in time.

use std::cell::RefCell;
use std::time::Duration;

use futures_util::future::join_all;
use hooktrestle_users_standin::ROUTES_IN_TROUBLE;
use hooktrestle_users_standin::SERVICE_IN_TROUBLE;
use hooktrestle_users_standin::add_service_in_trouble;
use hooktrestle_users_standin::caller;
use hooktrestle_users_standin::endless::Endless;
use hooktrestle_users_standin::endless::EndlessCallers;
use hooktrestle_users_standin::endless::EndlessRequest;
use hooktrestle_users_standin::server::Action;
use hooktrestle_users_standin::server::Server;
use hooktrestle_users_standin::store::Store;
use reqwest::Client;
use serde_json::Value;
use tokio::time;
use tokio::time::Instant;

use crate::callers::RunContext;
use crate::ledger::Guarantee;
use crate::schedule::Fault;
use crate::schedule::FaultKind;

/// Number of callers at once of a server in trouble, and of callers and of gateways in trouble.
const CALLERS: usize = 24;

/// Deadline of requests to a server in trouble.
const DEADLINE: Duration = Duration::from_millis(DEADLINE_MS);
const DEADLINE_MS: u64 = 1_500;

/// Pause between two requests of one caller.
const PAUSE: Duration = Duration::from_millis(50);

/// Where a server in trouble begins to send without end.
const SERVER_PLACES: [Endless; 13] = [
    Endless::InterimHeads,
    Endless::ChunkSizeZeros,
    Endless::Events,
    Endless::Body,
    Endless::NoAnswer,
    Endless::Chunks,
    Endless::Head,
    Endless::Event,
    Endless::ChunkExtension,
    Endless::Trailers,
    Endless::AfterAnswer,
    Endless::Refusal,
    Endless::ChunkSize,
];

/// Where the store begins to.
const STORE_PLACES: [Endless; 5] = [
    Endless::Chunks,
    Endless::InterimHeads,
    Endless::ChunkSizeZeros,
    Endless::Body,
    Endless::NoAnswer,
];

/// Where callers begin to.
const CALLER_PLACES: [EndlessRequest; 4] = [
    EndlessRequest::ChunkSizeZeros,
    EndlessRequest::ChunkExtension,
    EndlessRequest::EmptyLines,
    EndlessRequest::Requests,
];

/// A server that sends without end, of a service of its own; none before it is started.
#[derive(Default)]
pub struct ServerInTrouble(RefCell<Option<Server>>);

impl ServerInTrouble {
    /// Starts it, and adds its row to the store.
    pub async fn start(&self, store: &Store) {
        let server = Server::start(SERVICE_IN_TROUBLE).await;
        let mut row = server.high_capacity_entry();
        row["service"] = SERVICE_IN_TROUBLE.into();
        store.put("servers", SERVICE_IN_TROUBLE, &row);
        self.0.replace(Some(server));
    }

    /// Adds its service to a configuration, once it is started.
    pub fn add_to(&self, configuration: &mut Value) {
        if self.0.borrow().is_some() {
            add_service_in_trouble(configuration);
        }
    }

    fn set_place(&self, place: Endless) {
        if let Some(server) = self.0.borrow().as_ref() {
            server.set_default_action(Action::SendEndlessly(place));
        }
    }
}

/// Where the store begins to send without end in a fault with this target.
pub fn store_place(target: usize) -> Endless {
    STORE_PLACES[target % STORE_PLACES.len()]
}

/// Injects a fault of a server, of callers or of gateways, and waits until it has ended.
pub async fn inject(context: &RunContext, fault: Fault) {
    let gateways = &context.fleet.gateways;
    let at = gateways[fault.target % gateways.len()].at;
    match fault.kind {
        FaultKind::ServerEndless => {
            let place = SERVER_PLACES[fault.target % SERVER_PLACES.len()];
            context.backends.in_trouble.set_place(place);
            let end = Instant::now() + fault.duration;
            let callers = (0..CALLERS).map(|number| call_trouble(context, fault, number, end));
            join_all(callers).await;
        }
        FaultKind::CallersEndless => {
            let place = CALLER_PLACES[fault.target % CALLER_PLACES.len()];
            let _callers = EndlessCallers::start(at.callers, CALLERS, place);
            time::sleep(fault.duration).await;
        }
        FaultKind::PeersEndless => {
            let _callers = EndlessCallers::start(at.peers, CALLERS, EndlessRequest::Pings);
            time::sleep(fault.duration).await;
        }
        _ => {}
    }
}

/// Sends requests to the server in trouble through one gateway until a time, one after the other, and
/// checks that they end in time.
async fn call_trouble(context: &RunContext, fault: Fault, number: usize, end: Instant) {
    let (client, ledger) = (Client::new(), &context.ledger);
    let (route, _) = ROUTES_IN_TROUBLE[number % ROUTES_IN_TROUBLE.len()];
    let gateway = &context.fleet.gateways[(fault.target + number) % context.fleet.gateways.len()];
    while Instant::now() < end && context.running.get() {
        let (id, sent_at) = (context.next_id(), Instant::now());
        let at = gateway.at.callers;
        let was_settled = gateway.is_settled();
        let request = caller::request(&client, at, &format!("/{route}/0"), &id, DEADLINE_MS);
        if let Ok(mut answer) = request.send().await {
            while let Ok(Some(_)) = answer.chunk().await {}
        }
        let took = sent_at.elapsed();
        if was_settled && gateway.is_settled() && ledger.no_faults_since(sent_at) {
            ledger.record_check(Guarantee::InTime);
            if took > DEADLINE + ledger.bounds.after_deadline {
                let detail = format!("{id} to a server in trouble ended after {took:?}");
                ledger.report(Guarantee::InTime, detail);
            }
        }
        time::sleep(PAUSE).await;
    }
}
