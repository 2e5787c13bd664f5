//! Task for the expert map of one group: reads it, plans a new one, and switches to it by orders.
//! Input: demand and paces of the service, reports of the ranks. State: the group's map as known.
//! It decides when to plan, and what each outcome of a switch means for the next one.

use std::cell::RefCell;
use std::fmt;
use std::rc::Rc;
use std::time::Duration;

use futures_util::future::join_all;
use hooktrestle_core::clock::Millis;
use hooktrestle_core::direct::expert_layout;
use hooktrestle_core::direct::expert_layout::Layout;
use hooktrestle_core::direct::expert_layout::Planned;
use hooktrestle_core::direct::map_orders;
use hooktrestle_core::direct::map_orders::FencedOrder;
use hooktrestle_core::direct::map_orders::Next;
use hooktrestle_core::direct::map_orders::Order;
use hooktrestle_core::direct::map_orders::Phase;
use hooktrestle_core::direct::map_orders::RankRequest;
use hooktrestle_core::direct::map_orders::Reply;
use hooktrestle_core::direct::map_orders::Sender;
use hooktrestle_core::direct::map_orders::Start;
use hooktrestle_core::direct::map_orders::Switch;
use hooktrestle_core::direct::map_orders::Versions;
use hooktrestle_core::direct::pool::Server;
use hooktrestle_core::util::arena::Key;
use tokio::time;

use crate::engine;
use crate::engine::EncodedRequest;
use crate::engine::Path;
use crate::gateway::Gateway;
use crate::maps::LEADERSHIP_CHECK_INTERVAL;
use crate::maps::RECLAIM_PAUSE;
use crate::maps::Service;
use crate::platform::EngineReport;
use crate::platform::EngineRequest;
use crate::platform::Platform;

/// Maximum time between two plans for a group while no counts are read.
const MAX_PLAN_INTERVAL: Duration = Duration::from_millis(250);

/// Version of a group's initial map.
const FIRST_MAP: u64 = 0;

/// A group's map as its leader knows it.
struct KnownMap {
    epoch: u64,
    version: u64,
    layout: Layout,
    /// What the next switch already knows about the ranks.
    start: Start,
    /// Whether an earlier leader left a switch unfinished: a hold of it would otherwise stay in
    /// force permanently.
    is_switch_unfinished: bool,
}

impl KnownMap {
    /// Whether the ranks of a switch reported another map, or another epoch of their group. A plan
    /// that is based on this map may then need more copies.
    fn is_outdated(&self, switch: &Switch) -> bool {
        let other_map = switch.surveyed_map().is_some_and(|map| map != self.version);
        other_map || switch.epoch().is_some_and(|epoch| epoch != self.epoch)
    }
}

/// Adapts one group's map to demand until the leadership of its service ends.
pub(super) async fn manage<P: Platform>(service: Rc<Service<P>>, group: String) {
    let mut known: Option<KnownMap> = None;
    let mut versions = Versions::of_fencing_token(service.fencing_token);
    while !service.leadership.is_over() {
        // Another plan from the same counts would have the same result.
        drop(time::timeout(MAX_PLAN_INTERVAL, service.counts_read.notified()).await);
        let Some(ranks) = service.ranks_of(&group) else { continue };
        // A group in a new epoch has the initial map.
        let epoch = service.demand.borrow().epoch_of(&ranks);
        known = known.filter(|known| epoch.is_none_or(|epoch| epoch <= known.epoch));
        if known.is_none() {
            known = read_map(&service, &ranks).await;
            if known.is_none() {
                time::sleep(LEADERSHIP_CHECK_INTERVAL).await;
            }
        }
        if !service.may_change_map() {
            // Another leader may change the map meanwhile.
            known = None;
            continue;
        }
        let Some(current) = &known else { continue };
        let Some(planned) = next_layout(&service, current, &ranks) else { continue };
        let switch = begin(&service, versions, current, &planned, ranks.len());
        let planned = planned.layout;
        let map = expert_layout::by_rank(&planned, ranks.len());
        let target = SwitchTarget { ranks: &ranks, map: &map, newest: RefCell::default() };
        let (ended_switch, outcome) = run_switch(&service, &target, switch, current).await;
        versions = ended_switch.versions();
        known = conclude(&service, &group, planned, &ended_switch, &outcome);
    }
}

/// The layout that a group is to be switched to, if any.
fn next_layout<P: Platform>(
    service: &Service<P>,
    current: &KnownMap,
    ranks: &[Key<Server>],
) -> Option<Planned> {
    let demand = service.demand.borrow();
    let paces = service.paces_of(ranks);
    let planned = expert_layout::plan(&service.shape, &demand, &current.layout, &paces);
    let Some(planned) = planned else {
        let layout = || current.layout.clone();
        let unchanged = || Planned { layout: layout(), skew_before: 1.0, skew_after: 1.0 };
        return current.is_switch_unfinished.then(unchanged);
    };
    let Planned { skew_before, skew_after, .. } = planned;
    let line = format_args!(
        "planned a map that changes the skew from {skew_before:.2} to {skew_after:.2}"
    );
    service.gateway.event_log.state(line);
    Some(planned)
}

fn begin<P: Platform>(
    service: &Service<P>,
    versions: Versions,
    current: &KnownMap,
    planned: &Planned,
    ranks: usize,
) -> Switch {
    let has_sidecars = service.gateway.sidecars_port > 0;
    let config = if has_sidecars {
        map_orders::Config::for_fresh_reports()
    } else {
        map_orders::Config::default()
    };
    let usual_length = service.passes.borrow().length().unwrap_or(config.pass_length);
    let config =
        config.with_pass_length(expert_layout::expected_pass(usual_length, planned.skew_before));
    let copy = expert_layout::copy_time(&service.shape, &current.layout, &planned.layout, ranks);
    Switch::new(config, versions, ranks, current.start, copy)
}

/// The known map after a switch; `None` if it has to be read again.
fn conclude<P: Platform>(
    service: &Service<P>,
    group: &str,
    planned: Layout,
    ended_switch: &Switch,
    outcome: &Next,
) -> Option<KnownMap> {
    let event_log = &service.gateway.event_log;
    match outcome {
        Next::Switched => {
            let epoch = ended_switch.epoch().unwrap_or_default();
            let version = ended_switch.version();
            event_log.state(format_args!("group {group}: map {version} in force"));
            let start = Start::Settled { epoch };
            Some(KnownMap { epoch, version, layout: planned, start, is_switch_unfinished: false })
        }
        Next::Superseded => {
            event_log
                .state(format_args!("group {group}: another leader has a higher fencing token"));
            service.leadership.yield_for(RECLAIM_PAUSE, service.gateway.now());
            None
        }
        Next::VersionsExhausted => {
            event_log.state(format_args!(
                "group {group}: no map version is left, claiming leadership again"
            ));
            service.leadership.end();
            None
        }
        other => {
            event_log.state(format_args!(
                "group {group}: switch ended with {other:?} at {}",
                ended_switch.describe()
            ));
            None
        }
    }
}

/// Reads a group's map from its ranks; the initial map is known from its version.
async fn read_map<P: Platform>(service: &Service<P>, ranks: &[Key<Server>]) -> Option<KnownMap> {
    let reports = ranks.iter().map(|key| engine::report(&service.gateway, *key, Path::Any));
    let reports: Option<Vec<EngineReport>> = join_all(reports).await.into_iter().collect();
    let reports = reports?;
    let first = reports.first()?.state;
    let same = reports.iter().all(|report| {
        let state = report.state;
        state.open && state.epoch == first.epoch && state.map == first.map
    });
    if !same {
        return None;
    }
    let layout = match first.map {
        FIRST_MAP => expert_layout::first(&service.shape, ranks.len()),
        map => read_layout(service, ranks, map).await?,
    };
    let is_switch_unfinished =
        reports.iter().any(|report| report.state.held.is_some() || report.state.armed.is_some());
    let (epoch, version) = (first.epoch, first.map);
    Some(KnownMap { epoch, version, layout, start: Start::Unknown, is_switch_unfinished })
}

/// Requests the experts of all ranks; `None` if one does not answer, or uses another map.
async fn read_layout<P: Platform>(
    service: &Service<P>,
    ranks: &[Key<Server>],
    map: u64,
) -> Option<Layout> {
    let responses = ranks.iter().map(|key| engine::experts(&service.gateway, *key));
    let mut by_rank = Vec::with_capacity(ranks.len());
    for response in join_all(responses).await {
        let (version, held) = response?;
        if version != map {
            return None;
        }
        by_rank.push(held);
    }
    expert_layout::from_ranks(&service.shape, &by_rank)
}

/// The ranks that a switch sends orders to, and the new map.
struct SwitchTarget<'a> {
    ranks: &'a [Key<Server>],
    /// The map: experts by set and rank.
    map: &'a [Vec<Vec<u16>>],
    /// The newest order, as encoded for ranks. Most rounds send the same order to all of them,
    /// which contains the whole map if it is to be prepared.
    newest: RefCell<Option<(FencedOrder, Rc<EncodedRequest>)>>,
}

/// Duration of each phase of a switch, for logs.
struct PhaseTimes {
    phase: Phase,
    since: Millis,
    finished: Vec<(Phase, Millis)>,
}

impl PhaseTimes {
    fn new(phase: Phase, now: Millis) -> PhaseTimes {
        PhaseTimes { phase, since: now, finished: Vec::new() }
    }

    fn record(&mut self, phase: Phase, now: Millis) {
        if phase != self.phase {
            self.finished.push((self.phase, now.since(self.since)));
            (self.phase, self.since) = (phase, now);
        }
    }
}

impl fmt::Display for PhaseTimes {
    fn fmt(&self, to: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, (phase, duration)) in self.finished.iter().enumerate() {
            let comma = if index > 0 { ", " } else { "" };
            write!(to, "{comma}{phase:?} {} ms", duration.0)?;
        }
        Ok(())
    }
}

/// Runs a switch to its end, round by round.
async fn run_switch<P: Platform>(
    service: &Service<P>,
    target: &SwitchTarget<'_>,
    mut switch: Switch,
    current: &KnownMap,
) -> (Switch, Next) {
    let mut phase_times = PhaseTimes::new(switch.phase(), service.gateway.now());
    loop {
        phase_times.record(switch.phase(), service.gateway.now());
        if !service.are_present(target.ranks) || !service.may_change_map() {
            switch.withdraw();
        }
        match switch.step() {
            Next::Round(requests) => {
                if current.is_outdated(&switch) && switch.is_before_orders() {
                    return (switch, Next::Changed);
                }
                let replies = requests.iter().map(|(rank, request)| async {
                    (*rank, *request, send_to_rank(service, target, *rank, *request).await)
                });
                let replies = join_all(replies).await;
                switch.apply_replies(&replies);
            }
            Next::Pause(span) => time::sleep(Duration::from(span)).await,
            outcome => {
                phase_times.record(Phase::Survey, service.gateway.now());
                let line = format_args!(
                    "switch to map {}: {outcome:?} after {phase_times}",
                    switch.version()
                );
                service.gateway.event_log.state(line);
                return (switch, outcome);
            }
        }
    }
}

async fn send_to_rank<P: Platform>(
    service: &Service<P>,
    target: &SwitchTarget<'_>,
    rank: usize,
    request: RankRequest,
) -> Reply {
    let key = target.ranks[rank];
    match request {
        RankRequest::Report => match engine::report(&service.gateway, key, Path::Any).await {
            Some(report) => Reply::Report(report.state),
            None => Reply::NoAnswer,
        },
        RankRequest::Order(fenced) => {
            let order = target.encoded_order(&service.gateway, fenced);
            let path = target.path_of(&service.gateway, fenced.order);
            engine::order(&service.gateway, key, &order, path).await
        }
    }
}

impl SwitchTarget<'_> {
    /// An order as encoded for ranks.
    fn encoded_order<P: Platform>(
        &self,
        gateway: &Gateway<P>,
        order: FencedOrder,
    ) -> Rc<EncodedRequest> {
        let mut newest = self.newest.borrow_mut();
        if let Some((_, encoded)) = newest.as_ref().filter(|(known, _)| *known == order) {
            return encoded.clone();
        }
        let encoded =
            Rc::new(EncodedRequest::new(gateway, &EngineRequest::Order(&order, self.map)));
        *newest = Some((order, encoded.clone()));
        encoded
    }

    /// The path on which an order is sent to its rank. An order whose sender must be remote goes
    /// through another gateway, or through the rank's own machine if no other gateway is available.
    fn path_of<P: Platform>(&self, gateway: &Gateway<P>, order: Order) -> Path {
        match order.sender() {
            Sender::Remote => gateway.next_relay().map_or(Path::Any, Path::Through),
            Sender::Local => Path::Any,
        }
    }
}
