//! Moves experts between the ranks of groups as demand changes.
//!
//! One gateway leads the maps of a service: the one that all who know the same gateways would pick,
//! with a fencing token from the store. What it believes of its lead need not be true: orders carry
//! the token, and [`hooktrestle_core::direct::map_orders`] says why two leaders do no harm.
//!
//! The leader reads now and then, from some ranks, how often each expert was chosen; all groups of a
//! service serve the same demand, so one estimate serves all of them.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use futures_util::future::join_all;
use hooktrestle_core::direct::expert_plan;
use hooktrestle_core::direct::expert_plan::Holders;
use hooktrestle_core::direct::map_orders;
use hooktrestle_core::direct::map_orders::Ask;
use hooktrestle_core::direct::map_orders::Next;
use hooktrestle_core::direct::map_orders::Reply;
use hooktrestle_core::direct::map_orders::Switch;
use hooktrestle_core::direct::members::Readiness;
use hooktrestle_core::direct::pool::Server;
use hooktrestle_core::direct::serving::ExpertShape;
use hooktrestle_core::util::arena::Key;
use tokio::time;

use crate::engine;
use crate::gateway::Gateway;
use crate::platform::EngineAsk;
use crate::platform::Platform;

/// Time between two looks at who leads.
const LEAD_EVERY: Duration = Duration::from_millis(500);

/// Time between two readings of counts.
const COUNTS_EVERY: Duration = Duration::from_millis(400);

/// Ranks whose counts are read each time. Readings are priced, and a rank's own requests are a
/// sample of all.
const RANKS_READ: usize = 3;

/// Time after which a reading counts for half.
const HALF_LIFE_MS: f64 = 900.0;

/// Pause between two plans of a group.
const PLAN_EVERY: Duration = Duration::from_millis(200);

/// Copies that a rank makes for one switch, over all sets: a copy takes 148 ms at the users, and
/// demand shifts every few seconds.
const COPIES_EACH: usize = 8;

/// Part of the mean load of one set that a copy has to gain.
const COPY_PRICE: f64 = 0.015;

/// Part of the present peak that a switch has to gain.
const LEAST_GAIN: f64 = 0.04;

/// Chosen experts on which an estimate has to rest, for each expert.
const LEAST_COUNTS_EACH: f64 = 4.0;

/// A group's experts: set by set, the ranks that hold each.
type Layout = Vec<Vec<Holders>>;

/// Leads the maps of services, one task for each service, until the process ends.
pub async fn run<P: Platform>(gateway: Rc<Gateway<P>>) {
    let mut led: BTreeMap<String, Rc<Lead>> = BTreeMap::new();
    loop {
        let serving = gateway.serving();
        let grouped = serving
            .services
            .values()
            .filter_map(|service| service.experts.map(|shape| (service.name.clone(), shape)));
        for (service, shape) in grouped {
            let known = led.get(&service).is_some_and(|lead| !lead.is_over());
            if !known && is_candidate(&gateway) {
                let lead = Rc::new(Lead::default());
                led.insert(service.clone(), lead.clone());
                tokio::task::spawn_local(lead_service(gateway.clone(), service, shape, lead));
            }
        }
        time::sleep(LEAD_EVERY).await;
    }
}

/// Whether this gateway is the one that all would pick: the first by name of those that live.
fn is_candidate<P: Platform>(gateway: &Gateway<P>) -> bool {
    if gateway.readiness() != Readiness::Ready {
        return false;
    }
    let now = gateway.now();
    gateway.with_members(|members| members.is_first_ready(now))
}

/// A lead that was begun, and whether it goes on.
#[derive(Default)]
struct Lead {
    over: Cell<bool>,
}

impl Lead {
    fn is_over(&self) -> bool {
        self.over.get()
    }

    fn end(&self) {
        self.over.set(true);
    }
}

/// What one leader knows of a service.
struct Service<P: Platform> {
    gateway: Rc<Gateway<P>>,
    name: String,
    shape: ExpertShape,
    fence: u64,
    lead: Rc<Lead>,
    groups: RefCell<BTreeMap<String, Vec<Option<Key<Server>>>>>,
    demand: RefCell<Demand>,
}

async fn lead_service<P: Platform>(
    gateway: Rc<Gateway<P>>,
    name: String,
    shape: ExpertShape,
    lead: Rc<Lead>,
) {
    let holder = gateway
        .with_members(|members| format!("{} {}", members.own().name, members.own().incarnation));
    let fence = match gateway.platform.claim_maps(&name, &holder).await {
        Ok(fence) => fence,
        Err(failure) => {
            gateway.journal.state(format_args!("maps of {name} are not led: {failure}"));
            return lead.end();
        }
    };
    gateway.journal.state(format_args!("maps of {name} are led with fence {fence}"));
    let service = Rc::new(Service {
        gateway,
        demand: RefCell::new(Demand::new(&shape)),
        name,
        shape,
        fence,
        lead,
        groups: RefCell::default(),
    });
    let mut started: Vec<String> = Vec::new();
    while !service.lead.is_over() {
        if !is_candidate(&service.gateway) {
            service.lead.end();
            break;
        }
        service.find_groups().await;
        let names: Vec<String> = service.groups.borrow().keys().cloned().collect();
        for group in names {
            if !started.contains(&group) {
                started.push(group.clone());
                tokio::task::spawn_local(lead_group(service.clone(), group));
            }
        }
        service.read_counts().await;
        time::sleep(COUNTS_EVERY).await;
    }
    service.gateway.journal.state(format_args!("maps of {} are not led any more", service.name));
}

impl<P: Platform> Service<P> {
    /// Asks servers that are in no known group for their place.
    async fn find_groups(&self) {
        let servers = self.gateway.with_pool(|pool| pool.open_of(&self.name));
        let new: Vec<Key<Server>> = {
            let groups = self.groups.borrow();
            let placed = |key: &Key<Server>| groups.values().flatten().any(|at| *at == Some(*key));
            servers.into_iter().filter(|key| !placed(key)).collect()
        };
        let reports = new.iter().map(|key| engine::report(&self.gateway, *key));
        let reports = join_all(reports).await;
        let mut groups = self.groups.borrow_mut();
        for (key, report) in new.into_iter().zip(reports) {
            let Some(report) = report else { continue };
            let ranks = groups.entry(report.group).or_default();
            let size = report.size.min(expert_plan::MOST_RANKS);
            if ranks.len() < size {
                ranks.resize(size, None);
            }
            if let Some(place) = ranks.get_mut(report.rank) {
                *place = Some(key);
            }
        }
    }

    /// Reads the counts of some ranks.
    async fn read_counts(&self) {
        let ranks: Vec<Key<Server>> =
            self.groups.borrow().values().flatten().filter_map(|rank| *rank).collect();
        if ranks.is_empty() {
            return;
        }
        // The same ranks each time: what is counted is what came between two readings.
        let stride = (ranks.len() / RANKS_READ).max(1);
        let read: Vec<Key<Server>> =
            ranks.iter().copied().step_by(stride).take(RANKS_READ).collect();
        let counts = read.iter().map(|key| engine::counts(&self.gateway, *key));
        let counts = join_all(counts).await;
        let now = self.gateway.now().0 as f64;
        let mut demand = self.demand.borrow_mut();
        demand.fade(now);
        for (key, counts) in read.into_iter().zip(counts) {
            if let Some(counts) = counts {
                demand.take(key, counts.epoch, counts.counts);
            }
        }
    }

    fn ranks_of(&self, group: &str) -> Option<Vec<Key<Server>>> {
        self.groups.borrow().get(group)?.iter().copied().collect()
    }
}

/// How often experts were chosen lately.
struct Demand {
    experts: usize,
    sums: Vec<f64>,
    last: BTreeMap<Key<Server>, (u64, Vec<u64>)>,
    faded_ms: f64,
}

impl Demand {
    fn new(shape: &ExpertShape) -> Demand {
        Demand {
            experts: shape.experts,
            sums: vec![0.0; shape.sets * shape.experts],
            last: BTreeMap::new(),
            faded_ms: 0.0,
        }
    }

    fn fade(&mut self, now_ms: f64) {
        let kept = 0.5f64.powf((now_ms - self.faded_ms) / HALF_LIFE_MS);
        self.faded_ms = now_ms;
        self.sums.iter_mut().for_each(|sum| *sum *= kept);
    }

    fn take(&mut self, key: Key<Server>, epoch: u64, counts: Vec<u64>) {
        if counts.len() != self.sums.len() {
            return;
        }
        if let Some((known_epoch, known)) = self.last.get(&key)
            && *known_epoch == epoch
        {
            for ((sum, new), old) in self.sums.iter_mut().zip(&counts).zip(known) {
                *sum += new.saturating_sub(*old) as f64;
            }
        }
        self.last.insert(key, (epoch, counts));
    }

    /// Each expert's counts in a set; `None` while there are too few.
    fn of_set(&self, set: usize) -> Option<&[f64]> {
        let from = set * self.experts;
        let counts = self.sums.get(from..from + self.experts)?;
        let enough = counts.iter().sum::<f64>() >= LEAST_COUNTS_EACH * self.experts as f64;
        enough.then_some(counts)
    }
}

/// A group's map as its leader knows it.
struct Known {
    epoch: u64,
    version: u64,
    layout: Layout,
    /// Whether a predecessor left a switch half done: a hold would stand for good.
    unsettled: bool,
}

async fn lead_group<P: Platform>(service: Rc<Service<P>>, group: String) {
    let mut known: Option<Known> = None;
    while !service.lead.is_over() {
        time::sleep(PLAN_EVERY).await;
        let Some(ranks) = service.ranks_of(&group) else { continue };
        if known.is_none() {
            known = learn(&service, &ranks).await;
            if known.is_none() {
                time::sleep(LEAD_EVERY).await;
            }
        }
        let Some(before) = &known else { continue };
        let planned = plan(&service, &before.layout, ranks.len());
        let planned = planned.or_else(|| before.unsettled.then(|| before.layout.clone()));
        let Some(planned) = planned else { continue };
        let map = by_rank(&planned, ranks.len());
        let begun = Switch::new(map_orders::Config::default(), service.fence, ranks.len());
        let (done, ended) = carry_out(&service, &ranks, begun, before, &map).await;
        match ended {
            Next::Switched => {
                let epoch = done.epoch().unwrap_or_default();
                let version = done.version();
                let line = format_args!("group {group}: map {version} in force");
                service.gateway.journal.state(line);
                known = Some(Known { epoch, version, layout: planned, unsettled: false });
            }
            Next::Deposed => {
                let line = format_args!("group {group}: another leader has a higher fence");
                service.gateway.journal.state(line);
                service.lead.end();
            }
            other => {
                service.gateway.journal.state(format_args!("group {group}: {other:?}"));
                known = None;
            }
        }
    }
}

/// Reads a group's map: from its version where that is the first one, else from its ranks.
async fn learn<P: Platform>(service: &Service<P>, ranks: &[Key<Server>]) -> Option<Known> {
    let reports = ranks.iter().map(|key| engine::report(&service.gateway, *key));
    let reports: Option<Vec<_>> = join_all(reports).await.into_iter().collect();
    let reports = reports?;
    let first = reports.first()?.state;
    let same = reports.iter().all(|report| {
        let state = report.state;
        state.open && state.epoch == first.epoch && state.map == first.map
    });
    if !same {
        return None;
    }
    let (sets, experts) = (service.shape.sets, service.shape.experts);
    let mut layout: Layout = vec![vec![0; experts]; sets];
    if first.map == 0 {
        layout = vec![expert_plan::dealt(experts, ranks.len()); sets];
    } else {
        let told = ranks.iter().map(|key| engine::experts(&service.gateway, *key));
        for (rank, told) in join_all(told).await.into_iter().enumerate() {
            let (version, held) = told?;
            if version != first.map {
                return None;
            }
            for (set, held) in held.iter().enumerate().take(sets) {
                for expert in held {
                    *layout[set].get_mut(usize::from(*expert))? |= 1 << rank;
                }
            }
        }
    }
    let unsettled =
        reports.iter().any(|report| report.state.held.is_some() || report.state.armed.is_some());
    Some(Known { epoch: first.epoch, version: first.map, layout, unsettled })
}

/// A better layout, if it is worth a switch.
fn plan<P: Platform>(service: &Service<P>, layout: &Layout, ranks: usize) -> Option<Layout> {
    let demand = service.demand.borrow();
    let shape = &service.shape;
    let mut copies_left = vec![COPIES_EACH; ranks];
    let (mut before, mut after) = (0.0, 0.0);
    let mut planned = layout.clone();
    // The sets with the most to gain first: copies are few.
    let mut sets: Vec<usize> = (0..shape.sets).collect();
    let skew = |set: usize| {
        demand.of_set(set).map_or(1.0, |shares| expert_plan::skew(&layout[set], shares, ranks))
    };
    sets.sort_by(|a, b| skew(*b).total_cmp(&skew(*a)));
    for set in sets {
        let shares = demand.of_set(set)?;
        let limits = expert_plan::Limits {
            ranks,
            places: shape.places,
            new_at_rank: copies_left.iter().copied().min().unwrap_or_default().min(shape.spare),
            price: COPY_PRICE,
        };
        before += expert_plan::skew(&layout[set], shares, ranks);
        if limits.new_at_rank > 0 {
            planned[set] = expert_plan::plan(&layout[set], shares, &limits);
        }
        after += expert_plan::skew(&planned[set], shares, ranks);
        let new = expert_plan::new_at(&layout[set], &planned[set], ranks);
        for (left, new) in copies_left.iter_mut().zip(new) {
            *left = left.saturating_sub(new);
        }
    }
    (after < before * (1.0 - LEAST_GAIN)).then_some(planned)
}

/// The experts by set and rank.
fn by_rank(layout: &Layout, ranks: usize) -> Vec<Vec<Vec<u16>>> {
    let of_rank = |set: &Vec<Holders>, rank: usize| {
        let held = set.iter().enumerate().filter(|(_, mask)| **mask >> rank & 1 == 1);
        held.map(|(expert, _)| expert as u16).collect::<Vec<u16>>()
    };
    layout.iter().map(|set| (0..ranks).map(|rank| of_rank(set, rank)).collect()).collect()
}

/// Brings a map in, round by round.
async fn carry_out<P: Platform>(
    service: &Service<P>,
    ranks: &[Key<Server>],
    mut switch: Switch,
    before: &Known,
    map: &[Vec<Vec<u16>>],
) -> (Switch, Next) {
    loop {
        match switch.step() {
            Next::Round(asks) => {
                // The map was planned from another one: it may need more copies than planned.
                let moved = switch.surveyed_map().is_some_and(|map| map != before.version);
                let stale = moved || switch.epoch().is_some_and(|epoch| epoch != before.epoch);
                if stale && switch.is_before_orders() {
                    return (switch, Next::Changed);
                }
                let asked = asks.iter().map(|(rank, ask)| async {
                    (*rank, *ask, ask_rank(service, ranks[*rank], *ask, map).await)
                });
                let replies = join_all(asked).await;
                switch.take(&replies);
            }
            Next::Pause(span) => time::sleep(Duration::from_millis(span.0)).await,
            ended => return (switch, ended),
        }
    }
}

async fn ask_rank<P: Platform>(
    service: &Service<P>,
    key: Key<Server>,
    ask: Ask,
    map: &[Vec<Vec<u16>>],
) -> Reply {
    match ask {
        Ask::Report => match engine::report(&service.gateway, key).await {
            Some(report) => Reply::Report(report.state),
            None => Reply::Nothing,
        },
        Ask::Order(guarded) => {
            engine::order(&service.gateway, key, &EngineAsk::Order(&guarded, map)).await
        }
    }
}
