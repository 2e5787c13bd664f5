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
use hooktrestle_core::clock::Millis;
use hooktrestle_core::direct::expert_plan;
use hooktrestle_core::direct::expert_plan::Holders;
use hooktrestle_core::direct::map_orders;
use hooktrestle_core::direct::map_orders::Ask;
use hooktrestle_core::direct::map_orders::Next;
use hooktrestle_core::direct::map_orders::Reply;
use hooktrestle_core::direct::map_orders::Start;
use hooktrestle_core::direct::map_orders::Switch;
use hooktrestle_core::direct::members::Readiness;
use hooktrestle_core::direct::pool::Server;
use hooktrestle_core::direct::serving::ExpertShape;
use hooktrestle_core::util::arena::Key;
use tokio::time;

use crate::engine;
use crate::engine::Path;
use crate::gateway::Gateway;
use crate::platform::Counts;
use crate::platform::EngineAsk;
use crate::platform::Platform;

/// Time between two looks at who leads.
const LEAD_EVERY: Duration = Duration::from_millis(500);

/// Time from the start of the process in which it only hears who else there is: where many start at
/// once, each would claim the lead.
const LISTEN_FIRST: Millis = Millis(1_200);

/// Time between two readings of counts.
const COUNTS_EVERY: Duration = Duration::from_millis(250);

/// Ranks whose counts are read each time. Readings are priced, and a rank's own requests are a
/// sample of all.
const RANKS_READ: usize = 2;

/// Time after which a reading counts for half.
const HALF_LIFE_MS: f64 = 250.0;

/// Half-life of the slow average over that of the fast one.
const SLOWER: f64 = 2.0;

/// How far ahead of the counts demand is followed, in differences of the two averages.
const AHEAD: f64 = 1.0;

/// Readings that are passed over while groups have no work.
const IDLE_READINGS: u32 = 4;

/// Pause between two plans of a group.
const PLAN_EVERY: Duration = Duration::from_millis(100);

/// Copies that a rank makes for one switch, over all sets: a copy takes 148 ms at the users, and
/// demand shifts every few seconds.
const COPIES_EACH: usize = 3;

/// Added to the time that copies take by the link's rate: round trips, and a late start.
const COPY_MARGIN: Millis = Millis(30);

/// Part of the mean load of one set that a copy has to gain.
const COPY_PRICE: f64 = 0.06;

/// Part of the present peak that a switch has to gain.
const LEAST_GAIN: f64 = 0.08;

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
    let now = gateway.now();
    if gateway.readiness() != Readiness::Ready || now < LISTEN_FIRST {
        return false;
    }
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
    /// Which rank is read next.
    turn: Cell<usize>,
    /// Readings passed over since the last.
    passed_over: Cell<u32>,
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
        turn: Cell::new(0),
        passed_over: Cell::new(0),
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
        let servers = self.gateway.with_pool(|pool| pool.present_of(&self.name));
        let new: Vec<Key<Server>> = {
            let mut groups = self.groups.borrow_mut();
            for rank in groups.values_mut().flatten() {
                *rank = rank.filter(|key| servers.contains(key));
            }
            let placed = |key: &Key<Server>| groups.values().flatten().any(|at| *at == Some(*key));
            servers.into_iter().filter(|key| !placed(key)).collect()
        };
        let reports = new.iter().map(|key| engine::report(&self.gateway, *key, Path::Any));
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

    /// Reads how often experts were chosen since the last reading.
    async fn read_counts(&self) {
        let ranks: Vec<Key<Server>> =
            self.groups.borrow().values().flatten().filter_map(|rank| *rank).collect();
        if ranks.is_empty() {
            return;
        }
        let mut read = self.read_beside(&ranks).await;
        if read.is_empty() {
            read.extend(self.read_from_afar(&ranks).await);
        }
        let now = self.gateway.now().0 as f64;
        let mut demand = self.demand.borrow_mut();
        demand.fade(now);
        demand.busy = false;
        for (key, counts) in read {
            demand.take(key, counts.epoch, counts.counts);
        }
    }

    /// Reads all ranks through the processes beside them, which costs nothing.
    async fn read_beside(&self, ranks: &[Key<Server>]) -> Vec<(Key<Server>, Counts)> {
        if self.gateway.sidecars_port == 0 {
            return Vec::new();
        }
        let asked = ranks
            .iter()
            .map(|key| async { (*key, engine::counts(&self.gateway, *key, Path::Sidecar).await) });
        let answers = join_all(asked).await;
        answers.into_iter().filter_map(|(key, counts)| Some((key, counts?))).collect()
    }

    /// Reads one of a few ranks, always the same, in turn: what is counted is what came between two
    /// readings. Each has a price, so none is made while the groups have no work.
    async fn read_from_afar(&self, ranks: &[Key<Server>]) -> Option<(Key<Server>, Counts)> {
        let passed_over = self.passed_over.get();
        if !self.demand.borrow().busy && passed_over < IDLE_READINGS {
            self.passed_over.set(passed_over + 1);
            return None;
        }
        self.passed_over.set(0);
        let stride = (ranks.len() / RANKS_READ).max(1);
        let turn = self.turn.replace(self.turn.get().wrapping_add(1)) % RANKS_READ.min(ranks.len());
        let key = ranks[turn * stride];
        Some((key, engine::counts(&self.gateway, key, Path::Any).await?))
    }

    fn are_present(&self, ranks: &[Key<Server>]) -> bool {
        self.gateway.with_pool(|pool| ranks.iter().all(|key| pool.is_present(*key)))
    }

    fn ranks_of(&self, group: &str) -> Option<Vec<Key<Server>>> {
        self.groups.borrow().get(group)?.iter().copied().collect()
    }
}

/// How often experts were chosen lately, in two averages: where the fast one is ahead of the slow
/// one, demand is changing, and is followed ahead of what was counted.
struct Demand {
    experts: usize,
    fast: Vec<f64>,
    slow: Vec<f64>,
    last: BTreeMap<Key<Server>, (u64, Vec<u64>)>,
    faded_ms: f64,
    /// Whether the newest reading showed work.
    busy: bool,
}

impl Demand {
    fn new(shape: &ExpertShape) -> Demand {
        let sums = vec![0.0; shape.sets * shape.experts];
        Demand {
            experts: shape.experts,
            fast: sums.clone(),
            slow: sums,
            last: BTreeMap::new(),
            faded_ms: 0.0,
            busy: true,
        }
    }

    fn fade(&mut self, now_ms: f64) {
        let span = now_ms - self.faded_ms;
        self.faded_ms = now_ms;
        for (sums, half_life) in
            [(&mut self.fast, HALF_LIFE_MS), (&mut self.slow, SLOWER * HALF_LIFE_MS)]
        {
            let kept = 0.5f64.powf(span / half_life);
            sums.iter_mut().for_each(|sum| *sum *= kept);
        }
    }

    fn take(&mut self, key: Key<Server>, epoch: u64, counts: Vec<u64>) {
        if counts.len() != self.fast.len() {
            return;
        }
        if let Some((known_epoch, known)) = self.last.get(&key)
            && *known_epoch == epoch
        {
            self.busy |= counts != *known;
            for (index, (new, old)) in counts.iter().zip(known).enumerate() {
                let chosen = new.saturating_sub(*old) as f64;
                self.fast[index] += chosen;
                self.slow[index] += chosen;
            }
        }
        self.last.insert(key, (epoch, counts));
    }

    /// Each expert's share of a set as it is expected to be; `None` while there are too few counts.
    fn of_set(&self, set: usize) -> Option<Vec<f64>> {
        let places = set * self.experts..(set + 1) * self.experts;
        let (fast, slow) = (self.fast.get(places.clone())?, self.slow.get(places)?);
        let (all_fast, all_slow) = (fast.iter().sum::<f64>(), slow.iter().sum::<f64>());
        if all_fast < LEAST_COUNTS_EACH * self.experts as f64 {
            return None;
        }
        let shares = fast.iter().zip(slow).map(|(fast, slow)| {
            let (fast, slow) = (fast / all_fast, slow / all_slow);
            (fast + AHEAD * (fast - slow)).max(0.0)
        });
        Some(shares.collect())
    }
}

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
        let beside = service.gateway.sidecars_port > 0;
        let config =
            if beside { map_orders::Config::fresh() } else { map_orders::Config::default() };
        let copy = copy_time(&service.shape, &before.layout, &planned, ranks.len());
        let begun = Switch::new(config, service.fence, ranks.len(), before.start, copy);
        let (done, ended) = carry_out(&service, &ranks, begun, before, &map).await;
        match ended {
            Next::Switched => {
                let epoch = done.epoch().unwrap_or_default();
                let version = done.version();
                let line = format_args!("group {group}: map {version} in force");
                service.gateway.journal.state(line);
                let start = Start::Settled { epoch, version };
                known = Some(Known { epoch, version, layout: planned, start, unsettled: false });
            }
            Next::Deposed => {
                let line = format_args!("group {group}: another leader has a higher fence");
                service.gateway.journal.state(line);
                service.lead.end();
            }
            other => {
                let line = format_args!("group {group}: {other:?} at {}", done.describe());
                service.gateway.journal.state(line);
                known = None;
            }
        }
    }
}

/// Reads a group's map: from its version where that is the first one, else from its ranks.
async fn learn<P: Platform>(service: &Service<P>, ranks: &[Key<Server>]) -> Option<Known> {
    let reports = ranks.iter().map(|key| engine::report(&service.gateway, *key, Path::Any));
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
    let (epoch, version) = (first.epoch, first.map);
    Some(Known { epoch, version, layout, start: Start::Unknown, unsettled })
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
    let demands: Option<Vec<Vec<f64>>> = sets.iter().map(|set| demand.of_set(*set)).collect();
    let demands = demands?;
    let skew = |set: usize| expert_plan::skew(&layout[set], &demands[set], ranks);
    sets.sort_by(|a, b| skew(*b).total_cmp(&skew(*a)));
    for set in sets {
        let shares = &demands[set];
        let limits = expert_plan::Limits {
            places: shape.places,
            new_at: copies_left.iter().map(|left| (*left).min(shape.spare)).collect(),
            price: COPY_PRICE,
        };
        before += expert_plan::skew(&layout[set], shares, ranks);
        planned[set] = expert_plan::plan(&layout[set], shares, &limits);
        after += expert_plan::skew(&planned[set], shares, ranks);
        let new = expert_plan::new_at(&layout[set], &planned[set], ranks);
        for (left, new) in copies_left.iter_mut().zip(new) {
            *left = left.saturating_sub(new);
        }
    }
    (after < before * (1.0 - LEAST_GAIN)).then_some(planned)
}

/// How long the rank with the most to copy takes.
fn copy_time(shape: &ExpertShape, from: &Layout, to: &Layout, ranks: usize) -> Millis {
    let mut copies = vec![0; ranks];
    for (from, to) in from.iter().zip(to) {
        let new = expert_plan::new_at(from, to, ranks);
        copies.iter_mut().zip(new).for_each(|(sum, new)| *sum += new);
    }
    let most = copies.into_iter().max().unwrap_or_default() as f64;
    let megabit = 8.0 * shape.expert_mb;
    let copied = Millis((1_000.0 * most * megabit / shape.link_mbps.max(1.0)) as u64);
    if most > 0.0 { copied + COPY_MARGIN } else { copied }
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
            Next::Round(_) if !service.are_present(ranks) => return (switch, Next::Changed),
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
            Next::Pause(span) => time::sleep(Duration::from(span)).await,
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
        Ask::Report => match engine::report(&service.gateway, key, Path::Any).await {
            Some(report) => Reply::Report(report.state),
            None => Reply::Nothing,
        },
        Ask::Order(guarded) => {
            engine::order(&service.gateway, key, &EngineAsk::Order(&guarded, map)).await
        }
    }
}
