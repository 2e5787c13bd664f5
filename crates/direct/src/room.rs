//! Exchange with the keeper of a service's room: reports of this gateway, and notices of the keeper.
//! Input: the configuration, members, reports of other gateways. State: a connection to the keeper.
//! It decides which gateway keeps the room of a service, and when the next report is due.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use eyre::Result;
use eyre::eyre;
use hooktrestle_core::clock::Millis;
use hooktrestle_core::direct::members::IncarnationId;
use hooktrestle_core::direct::members::Readiness;
use hooktrestle_core::direct::room;
use hooktrestle_core::direct::room::GatewayReport;
use hooktrestle_core::direct::room::RoomNotice;
use hooktrestle_schema::PeerNews;
use hooktrestle_schema::RoomAsked;
use tokio::task::JoinHandle;
use tokio::time;

use crate::gateway::Gateway;
use crate::peers;
use crate::peers::connection_pool::ConnectionPool;
use crate::peers::messages;
use crate::peers::room_messages;
use crate::platform::Platform;

/// Interval between two checks of which services have streams.
const SERVICES_CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// Interval at which a gateway without streams checks whether it has got requests.
const ACTIVITY_CHECK_INTERVAL: Millis = Millis(100);

/// Time-out of an exchange: a little less than the time between two reports.
const EXCHANGE_TIMEOUT: Duration = Duration::from_millis(180);

/// Time for which a keeper that did not answer is skipped.
const SKIP_FOR: Millis = Millis(1_000);

/// Maximum number of idle connections to keepers of one service.
const MAX_IDLE_CONNECTIONS: usize = 2;

/// The gateway that keeps the room of a service.
struct Keeper {
    incarnation: IncarnationId,
    address: SocketAddr,
    is_own: bool,
}

/// Reports to the keepers of all services with streams until the process ends.
pub async fn run<P: Platform>(gateway: Rc<Gateway<P>>) {
    let mut tasks: BTreeMap<String, JoinHandle<()>> = BTreeMap::new();
    loop {
        tasks.retain(|_, task| !task.is_finished());
        for service in gateway.serving().stream_objectives.keys() {
            if !tasks.contains_key(service) {
                let task = report_on(gateway.clone(), service.clone());
                tasks.insert(service.clone(), tokio::task::spawn_local(task));
            }
        }
        time::sleep(SERVICES_CHECK_INTERVAL).await;
    }
}

/// Reports on one service for as long as its streams have an objective.
async fn report_on<P: Platform>(gateway: Rc<Gateway<P>>, service: String) {
    let connections = ConnectionPool::new(MAX_IDLE_CONNECTIONS);
    let mut last_keeper = None;
    while gateway.serving().stream_objectives.contains_key(&service) {
        if gateway.readiness() != Readiness::Starting
            && let Some(keeper) = keeper(&gateway, &service)
        {
            if last_keeper.replace(keeper.incarnation) != Some(keeper.incarnation) {
                record_keeper(&gateway, &service, &keeper);
            }
            report(&gateway, &service, &connections, &keeper).await;
        }
        let reported_at = gateway.now();
        loop {
            let due = reported_at + gateway.room_report_interval(&service);
            let left = due.since(gateway.now());
            if left == Millis::ZERO {
                break;
            }
            time::sleep(Duration::from(left.min(ACTIVITY_CHECK_INTERVAL))).await;
        }
    }
}

/// Records that a gateway became the keeper of a service's room.
fn record_keeper<P: Platform>(gateway: &Gateway<P>, service: &str, keeper: &Keeper) {
    if !keeper.is_own {
        gateway.metrics.remove_room(service);
    }
    let address = keeper.address;
    gateway.event_log.state(format_args!("the gateway at {address} keeps the room of {service}"));
}

/// Sends one report, and applies the notice that follows.
async fn report<P: Platform>(
    gateway: &Rc<Gateway<P>>,
    service: &str,
    connections: &ConnectionPool,
    keeper: &Keeper,
) {
    let report = gateway.take_room_report(service);
    if keeper.is_own {
        if let Some(notice) = gateway.record_room_report(service, report) {
            gateway.apply_room_notice(service, &notice);
        }
        return;
    }
    let exchanged = exchange(gateway, service, connections, keeper.address, &report);
    match time::timeout(EXCHANGE_TIMEOUT, exchanged).await {
        Ok(Ok(notice)) => gateway.apply_room_notice(service, &notice),
        Ok(Err(_)) | Err(_) => {
            gateway.event_log.state(format_args!(
                "{} did not answer a report on the room of {service} and is skipped",
                keeper.address
            ));
            gateway.skip_room_keeper(keeper.incarnation, gateway.now() + SKIP_FOR);
            gateway.with_room_view(service, |view| view.arrivals.put_back(&report));
        }
    }
}

/// The keeper of a service's room, as far as this gateway knows.
fn keeper<P: Platform>(gateway: &Gateway<P>, service: &str) -> Option<Keeper> {
    let now = gateway.now();
    let serving = gateway.serving();
    let has_experts = serving.services.get(service).is_some_and(|one| one.experts.is_some());
    gateway.with_members(|members| {
        let gateways = members.serving_gateways(now);
        let is_skipped = |incarnation| gateway.is_room_keeper_skipped(incarnation, now);
        let member = room::choose_keeper(&gateways, has_experts, is_skipped)?;
        Some(Keeper {
            incarnation: member.incarnation_id(),
            address: member.peers_at,
            is_own: member.name == members.own().name,
        })
    })
}

async fn exchange<P: Platform>(
    gateway: &Rc<Gateway<P>>,
    service: &str,
    connections: &ConnectionPool,
    address: SocketAddr,
    report: &GatewayReport,
) -> Result<RoomNotice> {
    let asked = room_messages::report_to_wire(service, report);
    let message = PeerNews { room_asked: Some(asked), ..messages::empty_message() };
    let sent_at = gateway.now();
    let attempt =
        async |idle| peers::round_trip_over(idle, address, &message, EXCHANGE_TIMEOUT).await;
    let reply = connections.exchange(address, attempt).await?;
    let given = reply.room_given.ok_or_else(|| eyre!("the reply contains no notice"))?;
    let delay = gateway.now().since(sent_at);
    Ok(room_messages::notice_from_wire(&given, delay))
}

/// The reply to a report of another gateway.
pub(crate) fn reply<P: Platform>(gateway: &Gateway<P>, asked: &RoomAsked) -> PeerNews {
    let report = room_messages::report_from_wire(asked);
    let notice = gateway.record_room_report(&asked.service, report);
    let given = notice.map(|notice| room_messages::notice_to_wire(&asked.service, &notice));
    PeerNews { room_given: given, ..messages::empty_message() }
}
