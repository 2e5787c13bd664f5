//! One group's map: read, planned anew as demand changes, and switched by orders to its ranks.

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
use crate::maps::LEAD_EVERY;
use crate::maps::Service;
use crate::maps::YIELD_WHEN_DEPOSED;
use crate::platform::EngineReport;
use crate::platform::EngineRequest;
use crate::platform::Platform;

/// Longest time until a group is looked at again where no counts are read.
const LOOK_EVERY: Duration = Duration::from_millis(250);

/// Version of the map that groups begin with.
const FIRST_MAP: u64 = 0;

/// A group's map as its leader knows it.
struct Known {
    epoch: u64,
    version: u64,
    layout: Layout,
    /// What the next switch need not look at.
    start: Start,
    /// Whether a predecessor left a switch half done: a hold would stand for good.
    unsettled: bool,
}

impl Known {
    /// Whether the ranks of a switch told of another map, or of another life of their group. What is
    /// planned from this one may need more copies then.
    fn is_outdated(&self, switch: &Switch) -> bool {
        let moved = switch.surveyed_map().is_some_and(|map| map != self.version);
        moved || switch.epoch().is_some_and(|epoch| epoch != self.epoch)
    }
}

/// Follows demand with one group's map, as long as the lead of its service goes on.
pub(super) async fn lead<P: Platform>(service: Rc<Service<P>>, group: String) {
    let mut known: Option<Known> = None;
    let mut versions = Versions::of_fencing_token(service.fence);
    while !service.lead.is_over() {
        // What was planned from the same counts before would be planned again.
        drop(time::timeout(LOOK_EVERY, service.counted.notified()).await);
        let Some(ranks) = service.ranks_of(&group) else { continue };
        // A group that began anew has its first map, whatever it had before.
        let epoch = service.demand.borrow().epoch_of(&ranks);
        known = known.filter(|known| epoch.is_none_or(|epoch| epoch <= known.epoch));
        if known.is_none() {
            known = learn(&service, &ranks).await;
            if known.is_none() {
                time::sleep(LEAD_EVERY).await;
            }
        }
        if !service.may_order() {
            // Another leader may change the map meanwhile.
            known = None;
            continue;
        }
        let Some(before) = &known else { continue };
        let Some(planned) = next_layout(&service, before, &ranks) else { continue };
        let switch = begin(&service, versions, before, &planned, ranks.len());
        let map = expert_layout::by_rank(&planned, ranks.len());
        let asked = Asked { ranks: &ranks, map: &map, newest: RefCell::default() };
        let (done, ended) = carry_out(&service, &asked, switch, before).await;
        versions = done.versions();
        known = conclude(&service, &group, planned, &done, &ended);
    }
}

/// What a group is to be switched to, if to anything.
fn next_layout<P: Platform>(
    service: &Service<P>,
    before: &Known,
    ranks: &[Key<Server>],
) -> Option<Layout> {
    let demand = service.demand.borrow();
    let paces = service.paces_of(ranks);
    let planned = expert_layout::plan(&service.shape, &demand, &before.layout, &paces);
    let Some(planned) = planned else {
        return before.unsettled.then(|| before.layout.clone());
    };
    let Planned { layout, skew_before, skew_after } = planned;
    let line = format_args!("skew {skew_before:.2} is to be {skew_after:.2}");
    service.gateway.event_log.state(line);
    Some(layout)
}

fn begin<P: Platform>(
    service: &Service<P>,
    versions: Versions,
    before: &Known,
    planned: &Layout,
    ranks: usize,
) -> Switch {
    let beside = service.gateway.sidecars_port > 0;
    let mut config = if beside {
        map_orders::Config::for_fresh_reports()
    } else {
        map_orders::Config::default()
    };
    config.pass_length = service.passes.borrow().length().unwrap_or(config.pass_length);
    let copy = expert_layout::copy_time(&service.shape, &before.layout, planned, ranks);
    Switch::new(config, versions, ranks, before.start, copy)
}

/// What is known of the group after a switch; `None` if it has to be read anew.
fn conclude<P: Platform>(
    service: &Service<P>,
    group: &str,
    planned: Layout,
    done: &Switch,
    ended: &Next,
) -> Option<Known> {
    let event_log = &service.gateway.event_log;
    match ended {
        Next::Switched => {
            let epoch = done.epoch().unwrap_or_default();
            let version = done.version();
            event_log.state(format_args!("group {group}: map {version} in force"));
            let start = Start::Settled { epoch };
            Some(Known { epoch, version, layout: planned, start, unsettled: false })
        }
        Next::Superseded => {
            event_log.state(format_args!("group {group}: another leader has a higher fence"));
            service.lead.yield_for(YIELD_WHEN_DEPOSED, service.gateway.now());
            None
        }
        Next::VersionsExhausted => {
            event_log
                .state(format_args!("group {group}: no version is left, the lead is claimed anew"));
            service.lead.end();
            None
        }
        other => {
            event_log.state(format_args!("group {group}: {other:?} at {}", done.describe()));
            None
        }
    }
}

/// Reads a group's map: from its version where that is the first one, else from its ranks.
async fn learn<P: Platform>(service: &Service<P>, ranks: &[Key<Server>]) -> Option<Known> {
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
    let unsettled =
        reports.iter().any(|report| report.state.held.is_some() || report.state.armed.is_some());
    let (epoch, version) = (first.epoch, first.map);
    Some(Known { epoch, version, layout, start: Start::Unknown, unsettled })
}

/// Asks all ranks which experts they hold; `None` if one does not tell, or uses another map.
async fn read_layout<P: Platform>(
    service: &Service<P>,
    ranks: &[Key<Server>],
    map: u64,
) -> Option<Layout> {
    let told = ranks.iter().map(|key| engine::experts(&service.gateway, *key));
    let mut by_rank = Vec::with_capacity(ranks.len());
    for told in join_all(told).await {
        let (version, held) = told?;
        if version != map {
            return None;
        }
        by_rank.push(held);
    }
    expert_layout::from_ranks(&service.shape, &by_rank)
}

/// Who is asked in a switch, and about what.
struct Asked<'a> {
    ranks: &'a [Key<Server>],
    /// The map: experts by set and rank.
    map: &'a [Vec<Vec<u16>>],
    /// The newest order as it is put to ranks: most rounds give all of them the same, with the whole
    /// map where it is to be prepared.
    newest: RefCell<Option<(FencedOrder, Rc<EncodedRequest>)>>,
}

/// How long the parts of a switch took, for logs.
struct Parts {
    phase: Phase,
    since: Millis,
    took: Vec<(Phase, Millis)>,
}

impl Parts {
    fn new(phase: Phase, now: Millis) -> Parts {
        Parts { phase, since: now, took: Vec::new() }
    }

    fn note(&mut self, phase: Phase, now: Millis) {
        if phase != self.phase {
            self.took.push((self.phase, now.since(self.since)));
            (self.phase, self.since) = (phase, now);
        }
    }
}

impl fmt::Display for Parts {
    fn fmt(&self, to: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (place, (phase, took)) in self.took.iter().enumerate() {
            let comma = if place > 0 { ", " } else { "" };
            write!(to, "{comma}{phase:?} {} ms", took.0)?;
        }
        Ok(())
    }
}

/// Brings a map in, round by round.
async fn carry_out<P: Platform>(
    service: &Service<P>,
    asked: &Asked<'_>,
    mut switch: Switch,
    before: &Known,
) -> (Switch, Next) {
    let mut parts = Parts::new(switch.phase(), service.gateway.now());
    loop {
        parts.note(switch.phase(), service.gateway.now());
        if !service.are_present(asked.ranks) || !service.may_order() {
            switch.withdraw();
        }
        match switch.step() {
            Next::Round(asks) => {
                if before.is_outdated(&switch) && switch.is_before_orders() {
                    return (switch, Next::Changed);
                }
                let replies = asks.iter().map(|(rank, ask)| async {
                    (*rank, *ask, ask_rank(service, asked, *rank, *ask).await)
                });
                let replies = join_all(replies).await;
                switch.apply_replies(&replies);
            }
            Next::Pause(span) => time::sleep(Duration::from(span)).await,
            ended => {
                parts.note(Phase::Survey, service.gateway.now());
                let line = format_args!("map {}: {ended:?} after {parts}", switch.version());
                service.gateway.event_log.state(line);
                return (switch, ended);
            }
        }
    }
}

async fn ask_rank<P: Platform>(
    service: &Service<P>,
    asked: &Asked<'_>,
    rank: usize,
    ask: RankRequest,
) -> Reply {
    let key = asked.ranks[rank];
    match ask {
        RankRequest::Report => match engine::report(&service.gateway, key, Path::Any).await {
            Some(report) => Reply::Report(report.state),
            None => Reply::NoAnswer,
        },
        RankRequest::Order(fenced) => {
            let order = asked.question(&service.gateway, fenced);
            let path = asked.path_of(&service.gateway, fenced.order);
            engine::order(&service.gateway, key, &order, path).await
        }
    }
}

impl Asked<'_> {
    /// An order as it is put to ranks.
    fn question<P: Platform>(
        &self,
        gateway: &Gateway<P>,
        order: FencedOrder,
    ) -> Rc<EncodedRequest> {
        let mut newest = self.newest.borrow_mut();
        if let Some((_, question)) = newest.as_ref().filter(|(known, _)| *known == order) {
            return question.clone();
        }
        let question =
            Rc::new(EncodedRequest::new(gateway, &EngineRequest::Order(&order, self.map)));
        *newest = Some((order, question.clone()));
        question
    }

    /// How an order reaches its rank; through the rank's own machine where no other gateway lives.
    fn path_of<P: Platform>(&self, gateway: &Gateway<P>, order: Order) -> Path {
        match order.sender() {
            Sender::Remote => gateway.next_relay().map_or(Path::Any, Path::Through),
            Sender::Local => Path::Any,
        }
    }
}
