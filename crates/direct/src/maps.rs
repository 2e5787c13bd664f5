//! Moves experts between the ranks of groups as demand changes.
//!
//! One gateway leads the maps of a service, with a fencing token from the store, until it stops or
//! the others do not hear of it any more. What it believes of its lead need not be true: orders carry
//! the token, and [`hooktrestle_core::direct::map_orders`] says why two leaders do no harm.
//!
//! The leader reads now and then, from some ranks, how often each expert was chosen; all groups of a
//! service serve the same demand, so one estimate serves all of them.
//!
//! - [`group`]: one group's map, read, planned anew and switched.
//! - [`paces`]: how fast ranks are, and which servers are told to be slow.

mod group;
mod paces;

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;

use futures_util::future::join;
use futures_util::future::join_all;
use hooktrestle_core::clock::Millis;
use hooktrestle_core::direct::count_deltas::Counts;
use hooktrestle_core::direct::count_deltas::DeltaDecoder;
use hooktrestle_core::direct::expert_demand::Demand;
use hooktrestle_core::direct::holders::MAX_RANKS;
use hooktrestle_core::direct::members::Readiness;
use hooktrestle_core::direct::passes::Passes;
use hooktrestle_core::direct::pool::Server;
use hooktrestle_core::direct::serving::ExpertShape;
use hooktrestle_core::util::arena::Key;
use tokio::sync::Notify;
use tokio::time;

use crate::engine;
use crate::engine::Path;
use crate::gateway::Gateway;
use crate::gateway::slow_servers::Reach;
use crate::maps::paces::Paces;
use crate::platform::Claim;
use crate::platform::Claimant;
use crate::platform::EngineReport;
use crate::platform::Platform;

/// Time between two looks at who leads.
const LEAD_EVERY: Duration = Duration::from_millis(250);

/// Time from the start of the process in which it only hears who else there is: where many start at
/// once, each would claim the lead.
const LISTEN_FIRST: Millis = Millis(500);

/// Added to it for each gateway that goes before this one, as
/// [`Members::count_preferred_leaders`] counts them: by the
/// time that it is over, news of an earlier claim have come. Where 149 started at once, all claimed
/// within 0.3 s; the first few claim now.
///
/// [`Members::count_preferred_leaders`]: hooktrestle_core::direct::members::Members::count_preferred_leaders
const CLAIM_STEP: Millis = Millis(50);

/// How long a leader that was replaced does not claim again: where it cannot hear of the other, the
/// two would take the lead from each other all the while. Cuts at the users last some 5 s.
const YIELD_WHEN_DEPOSED: Millis = Millis(5_000);

/// How long most ranks may not answer a leader that tells others of its lead: some readings, so that
/// a lost packet is none, and much less than the 5 s that cuts at the users last.
const UNREACHED_MOST: Millis = Millis(600);

/// Time between two readings of counts. A shift of demand is known after one or two: with 250 ms, worth
/// of days with trouble is 0.658 in place of 0.713 with groups of 24 ranks (without processor time).
const COUNTS_EVERY: Duration = Duration::from_millis(120);

/// Ranks whose counts are read through the processes beside them, if the own data centre has not that
/// many: a rank's own requests are a sample of all. Reading all 72 ranks of three data centres took
/// 0.026 of worth for bytes between them, and 0.03 for the time that these took on the leader's link.
const RANKS_NEARBY: usize = 12;

/// Readings of counts from one reading of paces to the next: ranks turn slow for seconds, and all of
/// them are asked.
const COUNTS_A_PACE: u32 = 2;

/// Ranks whose counts are read each time. Readings are priced, and a rank's own requests are a
/// sample of all.
const RANKS_READ: usize = 2;

/// Readings that are passed over while groups have no work.
const IDLE_READINGS: u32 = 4;

/// Time between two tries to write a claim again that the store may have lost.
const RENEW_EVERY: Millis = Millis(500);

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
            let known = led.get(&service).is_some_and(|lead| !lead.may_follow(gateway.now()));
            if !known && has_listened(&gateway) && is_candidate(&gateway) {
                let lead = Rc::new(Lead::default());
                led.insert(service.clone(), lead.clone());
                tokio::task::spawn_local(lead_service(gateway.clone(), service, shape, lead));
            }
        }
        time::sleep(LEAD_EVERY).await;
    }
}

/// Whether this gateway has listened for long enough to claim the lead.
fn has_listened<P: Platform>(gateway: &Gateway<P>) -> bool {
    let (before, spread) = gateway
        .with_members(|members| (members.count_preferred_leaders(), members.propagation_time()));
    let listen = LISTEN_FIRST + Millis(CLAIM_STEP.0 * before as u64);
    // After a standstill it begins anew: others were not silent, this process was. A claim that was lost with
    // an era protects its holder no more, of whom not all may have heard.
    gateway.now() >= listen
        && gateway.recent_suspension(listen).is_none()
        && !gateway.era_began_within(spread)
}

/// Whether this gateway is the one that shall lead, as far as it has heard.
fn is_candidate<P: Platform>(gateway: &Gateway<P>) -> bool {
    let now = gateway.now();
    if gateway.readiness() != Readiness::Ready {
        return false;
    }
    gateway.with_members(|members| members.should_lead(now))
}

/// A lead that was begun, and whether it goes on.
#[derive(Default)]
struct Lead {
    over: Cell<bool>,
    /// When the next one may be claimed.
    follow_at: Cell<Millis>,
}

impl Lead {
    fn is_over(&self) -> bool {
        self.over.get()
    }

    fn end(&self) {
        self.over.set(true);
    }

    /// It ends, since another gateway leads; none follows here for `span`.
    fn yield_for(&self, span: Millis, now: Millis) {
        self.follow_at.set(now + span);
        self.end();
    }

    fn may_follow(&self, now: Millis) -> bool {
        self.is_over() && self.follow_at.get() <= now
    }
}

/// What one leader knows of a service.
struct Service<P: Platform> {
    gateway: Rc<Gateway<P>>,
    name: String,
    shape: ExpertShape,
    fence: u64,
    lead: Rc<Lead>,
    /// The servers of each group by rank, as far as they are known.
    groups: RefCell<BTreeMap<String, Vec<Option<Key<Server>>>>>,
    /// Servers in groups that are too large to be led.
    unled: RefCell<BTreeSet<Key<Server>>>,
    /// Readings that were heard last.
    heard: RefCell<BTreeMap<Key<Server>, DeltaDecoder>>,
    demand: RefCell<Demand>,
    passes: RefCell<Passes>,
    paces: RefCell<Paces>,
    /// Since when most ranks have not answered.
    unreached_since: Cell<Option<Millis>>,
    /// Wakes whoever plans: counts were read.
    counted: Notify,
    /// Readings so far.
    ticks: Cell<u32>,
    /// Which rank is read next.
    turn: Cell<usize>,
    /// Readings passed over since the last.
    passed_over: Cell<u32>,
    /// When the claim may be written again next.
    renew_at: Cell<Millis>,
}

async fn lead_service<P: Platform>(
    gateway: Rc<Gateway<P>>,
    name: String,
    shape: ExpertShape,
    lead: Rc<Lead>,
) {
    let mut written_in = gateway.platform.store_era();
    let Some(fence) = claim(&gateway, &name, &lead).await else { return };
    gateway.with_members(|members| members.begin_leadership(fence));
    gateway.request_urgent_gossip(Reach::All);
    let service = Rc::new(Service::new(gateway, name, shape, fence, lead));
    let mut started: BTreeSet<String> = BTreeSet::new();
    while !service.lead.is_over() {
        if !is_candidate(&service.gateway) {
            service.lead.end();
            break;
        }
        if service.gateway.era().is_some_and(|era| era > written_in) {
            written_in = service.renew(written_in).await;
        }
        service.find_groups().await;
        for name in service.groups.borrow().keys() {
            if started.insert(name.clone()) {
                tokio::task::spawn_local(group::lead(service.clone(), name.clone()));
            }
        }
        service.read_counts().await;
        time::sleep(COUNTS_EVERY).await;
    }
    service.gateway.with_members(|members| members.end_leadership(service.fence));
    service.gateway.event_log.state(format_args!("maps of {} are not led any more", service.name));
}

/// Claims the lead of a service's maps, and returns its fencing token; ends the lead without one.
async fn claim<P: Platform>(gateway: &Gateway<P>, service: &str, lead: &Lead) -> Option<u64> {
    // Until all have heard who leads, nobody else may: one that has not would give orders, too.
    let (holder, newest_token, protected) = gateway.with_members(|members| {
        (members.own().name.clone(), members.highest_fencing_token(), members.propagation_time())
    });
    let claimant = Claimant { holder: &holder, newest_token };
    match gateway.platform.claim_map_leadership(service, &claimant, protected).await {
        Ok(Claim::Held(fence)) => {
            gateway.event_log.state(format_args!("maps of {service} are led with fence {fence}"));
            return Some(fence);
        }
        Ok(Claim::HeldBy(other)) => {
            gateway.event_log.state(format_args!("maps of {service} are led by {other}"));
            lead.yield_for(protected, gateway.now());
        }
        Err(failure) => {
            gateway.event_log.state(format_args!("maps of {service} are not led: {failure}"));
            lead.end();
        }
    }
    None
}

impl<P: Platform> Service<P> {
    /// Nothing is known of it yet but its shape.
    fn new(
        gateway: Rc<Gateway<P>>,
        name: String,
        shape: ExpertShape,
        fence: u64,
        lead: Rc<Lead>,
    ) -> Service<P> {
        Service {
            gateway,
            demand: RefCell::new(Demand::new(&shape)),
            name,
            shape,
            fence,
            lead,
            groups: RefCell::default(),
            unled: RefCell::default(),
            heard: RefCell::default(),
            passes: RefCell::default(),
            paces: RefCell::new(Paces::new(fence)),
            unreached_since: Cell::new(None),
            counted: Notify::new(),
            ticks: Cell::new(0),
            turn: Cell::new(0),
            passed_over: Cell::new(0),
            renew_at: Cell::default(),
        }
    }

    /// Writes the claim again, as the store may have lost it; returns the era in which it stands. It was written in
    /// `written_in` last.
    async fn renew(&self, written_in: u64) -> u64 {
        let now = self.gateway.now();
        if now < self.renew_at.get() {
            return written_in;
        }
        self.renew_at.set(now + RENEW_EVERY);
        let era = self.gateway.platform.store_era();
        let holder = self.gateway.with_members(|members| members.own().name.clone());
        let claimant = Claimant { holder: &holder, newest_token: self.fence };
        match self.gateway.platform.renew_map_leadership(&self.name, &claimant).await {
            Ok(Claim::Held(_)) => return era,
            Ok(Claim::HeldBy(other)) => {
                let line = format_args!("maps of {} are led by {other}", self.name);
                self.gateway.event_log.state(line);
                self.lead.yield_for(YIELD_WHEN_DEPOSED, self.gateway.now());
            }
            Err(failure) => {
                let line =
                    format_args!("the claim of {} is not written again: {failure}", self.name);
                self.gateway.event_log.state(line);
            }
        }
        written_in
    }

    /// Asks servers that are in no known group for their place.
    async fn find_groups(&self) {
        let servers = self.gateway.with_pool(|pool| pool.present_of(&self.name));
        let new: Vec<Key<Server>> = {
            let mut groups = self.groups.borrow_mut();
            for rank in groups.values_mut().flatten() {
                *rank = rank.filter(|key| servers.contains(key));
            }
            self.heard.borrow_mut().retain(|key, _| servers.contains(key));
            let placed: BTreeSet<Key<Server>> =
                groups.values().flatten().flatten().copied().collect();
            let mut unled = self.unled.borrow_mut();
            unled.retain(|key| servers.contains(key));
            let known = |key: &Key<Server>| placed.contains(key) || unled.contains(key);
            servers.into_iter().filter(|key| !known(key)).collect()
        };
        let reports = new.iter().map(|key| engine::report(&self.gateway, *key, Path::Any));
        let reports = join_all(reports).await;
        let mut groups = self.groups.borrow_mut();
        for (key, report) in new.into_iter().zip(reports) {
            let Some(report) = report else { continue };
            if report.size > MAX_RANKS {
                self.leave_unled(key, &report);
                continue;
            }
            let ranks = groups.entry(report.group).or_default();
            if ranks.len() < report.size {
                ranks.resize(report.size, None);
            }
            if let Some(place) = ranks.get_mut(report.rank) {
                *place = Some(key);
            }
        }
    }

    /// A server is in a group that is too large to be led: its map stays as it is, which is told.
    fn leave_unled(&self, key: Key<Server>, report: &EngineReport) {
        self.unled.borrow_mut().insert(key);
        self.gateway.metrics.ranks_without_leader.inc();
        let EngineReport { group, size, .. } = report;
        let name = &self.name;
        self.gateway.event_log.state(format_args!(
            "group {group} of {name} is not led: {size} ranks, of at most {MAX_RANKS}"
        ));
    }

    /// Reads how often experts were chosen since the last reading.
    async fn read_counts(&self) {
        let ranks: Vec<Key<Server>> =
            self.groups.borrow().values().flatten().filter_map(|rank| *rank).collect();
        if ranks.is_empty() {
            return;
        }
        let tick = self.ticks.replace(self.ticks.get().wrapping_add(1));
        let with_paces = tick.is_multiple_of(COUNTS_A_PACE);
        let paces = async {
            if with_paces {
                self.read_paces(&ranks).await;
            }
        };
        let (mut read, ()) = join(self.read_beside(&ranks), paces).await;
        if read.is_empty() && with_paces {
            read.extend(self.read_from_afar(&ranks).await);
        }
        let now = self.gateway.now();
        let mut demand = self.demand.borrow_mut();
        let mut passes = self.passes.borrow_mut();
        demand.decay(now.0 as f64);
        demand.busy = false;
        for (key, counts) in read {
            passes.record(key, counts.epoch, counts.pass, now);
            demand.record(key, counts.epoch, counts.counts);
        }
        drop((demand, passes));
        self.counted.notify_waiters();
    }

    /// Reads ranks nearby through the processes beside them, which costs nothing.
    async fn read_beside(&self, ranks: &[Key<Server>]) -> Vec<(Key<Server>, Counts)> {
        if self.gateway.sidecars_port == 0 {
            return Vec::new();
        }
        let asked = self.nearby(ranks).into_iter().map(|key| async move {
            let known = self.heard.borrow().get(&key).map_or(0, DeltaDecoder::known);
            let news = engine::counts_since(&self.gateway, key, known).await?;
            let read = self.heard.borrow_mut().entry(key).or_default().decode(news)?;
            Some((key, read))
        });
        join_all(asked).await.into_iter().flatten().collect()
    }

    /// The ranks in the own data centre, and as many others as make up [`RANKS_NEARBY`].
    fn nearby(&self, ranks: &[Key<Server>]) -> Vec<Key<Server>> {
        let own = self.gateway.with_members(|members| members.own().data_centre.clone());
        let (mut near, far): (Vec<_>, Vec<_>) = self.gateway.with_pool(|pool| {
            let is_near = |key: &Key<Server>| pool.server(*key).listed.data_centre == own;
            ranks.iter().copied().partition(is_near)
        });
        let lacking = RANKS_NEARBY.saturating_sub(near.len());
        near.extend(far.into_iter().take(lacking));
        near
    }

    /// Notes how many ranks answered. Where most do not, it is this gateway that is cut off: it does
    /// not tell of its lead any more, so that one that reaches them takes over.
    fn note_reached(&self, reached: usize, all: usize) {
        let now = self.gateway.now();
        if 2 * reached >= all {
            if self.unreached_since.take().is_some() {
                self.gateway.with_members(|members| members.advertise_leadership(true));
            }
            return;
        }
        let since = self.unreached_since.get().unwrap_or(now);
        if self.unreached_since.replace(Some(since)).is_none() {
            let line = format_args!("{reached} of {all} ranks of {} are reached", self.name);
            self.gateway.event_log.state(line);
        }
        if now.since(since) >= UNREACHED_MOST {
            self.gateway.with_members(|members| members.advertise_leadership(false));
        }
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

    /// Whether a map may begin to be changed.
    fn may_order(&self) -> bool {
        let now = self.gateway.now();
        !self.lead.is_over() && self.gateway.with_members(|members| members.may_send_orders(now))
    }

    fn are_present(&self, ranks: &[Key<Server>]) -> bool {
        self.gateway.with_pool(|pool| ranks.iter().all(|key| pool.is_present(*key)))
    }

    fn ranks_of(&self, group: &str) -> Option<Vec<Key<Server>>> {
        self.groups.borrow().get(group)?.iter().copied().collect()
    }
}
