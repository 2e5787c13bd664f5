//! Leadership of expert maps: moves experts between the ranks of groups as demand changes.
//! Input: engine reports, counts, membership, store claims. State: demand, groups and paces.
//! It decides when to claim leadership of a service's maps, and which ranks to read.
//!
//! One gateway leads the maps of a service, with a fencing token from the store, until it stops or
//! the other gateways suspect it. A gateway may be wrong about its leadership: each order carries
//! the token, and [`hooktrestle_core::direct::map_orders`] describes why two leaders do no harm.
//!
//! The leader reads at intervals, from some ranks, how often each expert was chosen. All groups of
//! a service serve the same demand, so one estimate serves all of them.
//!
//! - [`group`]: reads, plans and switches the map of one group.
//! - [`paces`]: reads how fast the ranks are, and reports slow servers.

mod group;
mod paces;

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;

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
use crate::platform::MapHolder;
use crate::platform::Platform;

/// Time between two checks of who is to lead.
const LEADERSHIP_CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// Time after its start in which a process only learns of other gateways. Without it, each of many
/// gateways that start at once would claim leadership.
const LISTEN_BEFORE_CLAIM: Millis = Millis(500);

/// Additional wait for each gateway that is preferred to this one, as counted by
/// [`Members::count_preferred_leaders`]. By its end, gossip about an earlier claim has arrived.
/// Without it, 149 gateways that start at once all claim within 0.3 s; with it, only the first few.
///
/// [`Members::count_preferred_leaders`]: hooktrestle_core::direct::members::Members::count_preferred_leaders
const CLAIM_DELAY_PER_GATEWAY: Millis = Millis(50);

/// Time for which a replaced leader does not claim again. If it cannot receive gossip of the new
/// leader, the two would otherwise replace each other repeatedly. The users' network cuts last
/// some 5 s.
const RECLAIM_PAUSE: Millis = Millis(5_000);

/// Time without answers from most ranks after which a leader no longer advertises its leadership.
/// It spans several reads, so that one lost packet has no effect, and is much less than the 5 s
/// that the users' network cuts last.
const MAX_UNREACHED_TIME: Millis = Millis(600);

/// Time between two reads of counts. One or two reads detect a shift of demand.
const COUNTS_INTERVAL: Duration = Duration::from_millis(120);

/// Number of ranks whose counts are read through sidecars if the own data centre has fewer ranks.
/// The requests of one rank are a sample of all, and bytes between data centres have a price.
const MIN_SIDECAR_RANKS: usize = 12;

/// Number of reads of counts for each read of paces. Ranks become slow for seconds, and a read of
/// paces sends a request to every rank.
const COUNT_READS_PER_PACE_READ: u32 = 2;

/// Reports of ranks per second up to which paces are read with each read of counts while the room of
/// the service is more than half taken. Each report costs the leader some tens of microseconds.
const MAX_RANK_REPORTS_PER_S: usize = 1_200;

/// Number of ranks whose counts are read directly, in turn. Each read has a price, and the requests
/// of one rank are a sample of all.
const MAX_DIRECT_RANKS: usize = 2;

/// Number of direct reads that are skipped between two reads while groups have no work.
const MAX_SKIPPED_READS: u32 = 4;

/// Time between two attempts to renew a claim that the store may have lost.
const CLAIM_RENEWAL_INTERVAL: Millis = Millis(500);

/// Starts a task that leads the maps of a service whenever this gateway is to lead it, until the
/// process ends.
pub async fn run<P: Platform>(gateway: Rc<Gateway<P>>) {
    let mut leaderships: BTreeMap<String, Rc<Leadership>> = BTreeMap::new();
    loop {
        let serving = gateway.serving();
        let grouped = serving
            .services
            .values()
            .filter_map(|service| service.experts.map(|shape| (service.name.clone(), shape)));
        for (service, shape) in grouped {
            let has_task = leaderships
                .get(&service)
                .is_some_and(|leadership| !leadership.may_claim_again(gateway.now()));
            if !has_task && has_listened(&gateway) && is_candidate(&gateway) {
                let leadership = Rc::new(Leadership::default());
                leaderships.insert(service.clone(), leadership.clone());
                tokio::task::spawn_local(lead_service(gateway.clone(), service, shape, leadership));
            }
        }
        time::sleep(LEADERSHIP_CHECK_INTERVAL).await;
    }
}

/// Whether this gateway has received gossip for long enough to claim leadership.
fn has_listened<P: Platform>(gateway: &Gateway<P>) -> bool {
    let (preferred, propagation) = gateway
        .with_members(|members| (members.count_preferred_leaders(), members.propagation_time()));
    let listen_time = LISTEN_BEFORE_CLAIM + Millis(CLAIM_DELAY_PER_GATEWAY.0 * preferred as u64);
    // After a suspension of this process the time starts again: other gateways seem not to be alive
    // since this one received nothing. After a new era of the store, a lost claim no longer
    // protects its holder, of which some gateways may not know yet.
    gateway.now() >= listen_time
        && gateway.recent_suspension(listen_time).is_none()
        && !gateway.era_began_within(propagation)
}

/// Whether this gateway is to lead, as far as it knows.
fn is_candidate<P: Platform>(gateway: &Gateway<P>) -> bool {
    let now = gateway.now();
    if gateway.readiness() != Readiness::Ready {
        return false;
    }
    gateway.with_members(|members| members.should_lead(now))
}

/// A leadership of this gateway, and whether it has ended.
#[derive(Default)]
struct Leadership {
    over: Cell<bool>,
    /// Time from which leadership may be claimed again.
    claim_again_at: Cell<Millis>,
}

impl Leadership {
    fn is_over(&self) -> bool {
        self.over.get()
    }

    fn end(&self) {
        self.over.set(true);
    }

    /// Ends the leadership, since another gateway leads, and does not claim it again for `span`.
    fn yield_for(&self, span: Millis, now: Millis) {
        self.claim_again_at.set(now + span);
        self.end();
    }

    fn may_claim_again(&self, now: Millis) -> bool {
        self.is_over() && self.claim_again_at.get() <= now
    }
}

/// State of a service that this gateway leads.
struct Service<P: Platform> {
    gateway: Rc<Gateway<P>>,
    name: String,
    shape: ExpertShape,
    fencing_token: u64,
    leadership: Rc<Leadership>,
    /// The servers of each group by rank; `None` if the server of a rank is not known.
    groups: RefCell<BTreeMap<String, Vec<Option<Key<Server>>>>>,
    /// Servers of groups that have too many ranks to be led.
    oversized: RefCell<BTreeSet<Key<Server>>>,
    /// Decoders of counts, each with the last counter snapshot of its rank.
    decoders: RefCell<BTreeMap<Key<Server>, DeltaDecoder>>,
    demand: RefCell<Demand>,
    passes: RefCell<Passes>,
    paces: RefCell<Paces>,
    /// Time since which most ranks have not answered.
    unreached_since: Cell<Option<Millis>>,
    /// Notifies the tasks of groups that counts were read.
    counts_read: Notify,
    /// Number of reads so far.
    rounds: Cell<u32>,
    /// Number of the next rank that is read directly, modulo the number of such ranks.
    next_sample: Cell<usize>,
    /// Number of direct reads skipped since the last one.
    skipped_reads: Cell<u32>,
    /// Time of the next attempt to renew the claim.
    renewal_due_at: Cell<Millis>,
}

async fn lead_service<P: Platform>(
    gateway: Rc<Gateway<P>>,
    name: String,
    shape: ExpertShape,
    leadership: Rc<Leadership>,
) {
    let mut claim_era = gateway.platform.store_era();
    let Some(fencing_token) = claim(&gateway, &name, &leadership).await else { return };
    gateway.with_members(|members| members.begin_leadership(fencing_token));
    gateway.request_urgent_gossip(Reach::All);
    let service = Rc::new(Service::new(gateway, name, shape, fencing_token, leadership));
    let mut started: BTreeSet<String> = BTreeSet::new();
    while !service.leadership.is_over() {
        if !is_candidate(&service.gateway) {
            service.leadership.end();
            break;
        }
        if service.gateway.era().is_some_and(|era| era > claim_era) {
            claim_era = service.renew(claim_era).await;
        }
        service.discover_groups().await;
        for name in service.groups.borrow().keys() {
            if started.insert(name.clone()) {
                tokio::task::spawn_local(group::manage(service.clone(), name.clone()));
            }
        }
        service.read_counts().await;
        time::sleep(COUNTS_INTERVAL).await;
    }
    service.gateway.with_members(|members| members.end_leadership(service.fencing_token));
    service
        .gateway
        .event_log
        .state(format_args!("leadership of the maps of {} ended", service.name));
}

/// Longest time between two tries to claim a leadership that another gateway holds: its process may
/// be replaced meanwhile, and gossip about it takes as long.
const MAX_CLAIM_PAUSE: Millis = Millis(1_000);

/// Claims leadership of a service's maps, and returns its fencing token. Without a token the
/// leadership ends.
async fn claim<P: Platform>(
    gateway: &Gateway<P>,
    service: &str,
    leadership: &Leadership,
) -> Option<u64> {
    // The claim is protected until all gateways know of it. Otherwise a gateway that does not know
    // of it yet could claim leadership and send orders, too.
    let (own, newest_token, protected) = gateway.with_members(|members| {
        (members.own().clone(), members.highest_fencing_token(), members.propagation_time())
    });
    let claimant =
        Claimant { holder: &own.name, incarnation: own.incarnation, newest_token, replaced: None };
    let claimed = gateway.platform.claim_map_leadership(service, &claimant, protected).await;
    let is_replaced = |holder: &MapHolder| {
        gateway.with_members(|members| members.is_replaced(&holder.name, holder.incarnation))
    };
    let claimed = match claimed {
        // The holder lost its power, or was killed, right after its claim.
        Ok(Claim::HeldBy(holder)) if is_replaced(&holder) => {
            let claimant =
                Claimant { replaced: Some((&holder.name, holder.incarnation)), ..claimant };
            gateway.platform.claim_map_leadership(service, &claimant, protected).await
        }
        other => other,
    };
    match claimed {
        Ok(Claim::Held(fencing_token)) => {
            gateway.event_log.state(format_args!(
                "leading the maps of {service} with fencing token {fencing_token}"
            ));
            return Some(fencing_token);
        }
        Ok(Claim::HeldBy(other)) => {
            let line = format_args!("the maps of {service} are led by {}", other.name);
            gateway.event_log.state(line);
            leadership.yield_for(other.protected_for.min(MAX_CLAIM_PAUSE), gateway.now());
        }
        Err(failure) => {
            gateway
                .event_log
                .state(format_args!("cannot claim leadership of the maps of {service}: {failure}"));
            leadership.end();
        }
    }
    None
}

impl<P: Platform> Service<P> {
    /// A service of which only the shape of its experts is known.
    fn new(
        gateway: Rc<Gateway<P>>,
        name: String,
        shape: ExpertShape,
        fencing_token: u64,
        leadership: Rc<Leadership>,
    ) -> Service<P> {
        Service {
            gateway,
            demand: RefCell::new(Demand::new(&shape)),
            name,
            shape,
            fencing_token,
            leadership,
            groups: RefCell::default(),
            oversized: RefCell::default(),
            decoders: RefCell::default(),
            passes: RefCell::default(),
            paces: RefCell::new(Paces::new(fencing_token)),
            unreached_since: Cell::new(None),
            counts_read: Notify::new(),
            rounds: Cell::new(0),
            next_sample: Cell::new(0),
            skipped_reads: Cell::new(0),
            renewal_due_at: Cell::default(),
        }
    }

    /// Renews the claim, since the store may have lost it. Returns the era in which it was written
    /// last, which was `claim_era` before.
    async fn renew(&self, claim_era: u64) -> u64 {
        let now = self.gateway.now();
        if now < self.renewal_due_at.get() {
            return claim_era;
        }
        self.renewal_due_at.set(now + CLAIM_RENEWAL_INTERVAL);
        let era = self.gateway.platform.store_era();
        let own = self.gateway.with_members(|members| members.own().clone());
        let claimant = Claimant {
            holder: &own.name,
            incarnation: own.incarnation,
            newest_token: self.fencing_token,
            replaced: None,
        };
        match self.gateway.platform.renew_map_leadership(&self.name, &claimant).await {
            Ok(Claim::Held(_)) => return era,
            Ok(Claim::HeldBy(other)) => {
                let line = format_args!("the maps of {} are led by {}", self.name, other.name);
                self.gateway.event_log.state(line);
                self.leadership.yield_for(RECLAIM_PAUSE, self.gateway.now());
            }
            Err(failure) => {
                let line = format_args!("cannot renew the claim of {}: {failure}", self.name);
                self.gateway.event_log.state(line);
            }
        }
        claim_era
    }

    /// Requests a report of each server in no known group, to learn its group and rank.
    async fn discover_groups(&self) {
        let servers = self.gateway.with_pool(|pool| pool.present_of(&self.name));
        let new: Vec<Key<Server>> = {
            let mut groups = self.groups.borrow_mut();
            for rank in groups.values_mut().flatten() {
                *rank = rank.filter(|key| servers.contains(key));
            }
            self.decoders.borrow_mut().retain(|key, _| servers.contains(key));
            let placed: BTreeSet<Key<Server>> =
                groups.values().flatten().flatten().copied().collect();
            let mut oversized = self.oversized.borrow_mut();
            oversized.retain(|key| servers.contains(key));
            let known = |key: &Key<Server>| placed.contains(key) || oversized.contains(key);
            servers.into_iter().filter(|key| !known(key)).collect()
        };
        let reports = new.iter().map(|key| engine::report(&self.gateway, *key, Path::Any));
        let reports = join_all(reports).await;
        let mut groups = self.groups.borrow_mut();
        for (key, report) in new.into_iter().zip(reports) {
            let Some(report) = report else { continue };
            if report.size > MAX_RANKS {
                self.mark_oversized(key, &report);
                continue;
            }
            let ranks = groups.entry(report.group).or_default();
            if ranks.len() < report.size {
                ranks.resize(report.size, None);
            }
            if let Some(slot) = ranks.get_mut(report.rank) {
                *slot = Some(key);
            }
        }
    }

    /// Records and logs that a server's group has too many ranks to be led. Its map stays the same.
    fn mark_oversized(&self, key: Key<Server>, report: &EngineReport) {
        self.oversized.borrow_mut().insert(key);
        self.gateway.metrics.ranks_without_leader.inc();
        let EngineReport { group, size, .. } = report;
        let name = &self.name;
        self.gateway.event_log.state(format_args!(
            "group {group} of {name} is not led: it has {size} ranks, the maximum is {MAX_RANKS}"
        ));
    }

    /// Reads how often experts were chosen since the last read, and at times how fast ranks are.
    async fn read_counts(&self) {
        let ranks: Vec<Key<Server>> =
            self.groups.borrow().values().flatten().filter_map(|rank| *rank).collect();
        if ranks.is_empty() {
            return;
        }
        let round = self.rounds.replace(self.rounds.get().wrapping_add(1));
        let is_pace_round = round.is_multiple_of(COUNT_READS_PER_PACE_READ);
        let with_paces = is_pace_round || self.is_room_read_due(ranks.len());
        // One after the other, so that one connection to each sidecar is sufficient: a leader has
        // hundreds of them.
        if with_paces {
            self.read_paces(&ranks).await;
        }
        let mut samples = self.read_through_sidecars(&ranks).await;
        if samples.is_empty() && is_pace_round {
            samples.extend(self.read_directly(&ranks).await);
        }
        let now = self.gateway.now();
        let mut demand = self.demand.borrow_mut();
        let mut passes = self.passes.borrow_mut();
        demand.decay(now.0 as f64);
        demand.busy = false;
        for (key, counts) in samples {
            passes.record(key, counts.epoch, counts.pass, now);
            demand.record(key, counts.epoch, counts.counts);
        }
        drop((demand, passes));
        self.counts_read.notify_waiters();
    }

    /// Whether the reports of all ranks are read more often than their paces require, since the
    /// room of the service is more than half taken.
    fn is_room_read_due(&self, ranks: usize) -> bool {
        let reports_per_s = ranks * 1_000 / COUNTS_INTERVAL.as_millis() as usize;
        reports_per_s <= MAX_RANK_REPORTS_PER_S && self.gateway.is_room_busy(&self.name)
    }

    /// Reads counts through sidecars, which has no price.
    async fn read_through_sidecars(&self, ranks: &[Key<Server>]) -> Vec<(Key<Server>, Counts)> {
        if self.gateway.sidecars_port == 0 {
            return Vec::new();
        }
        let reads = self.sidecar_ranks(ranks).into_iter().map(|key| async move {
            let known = self.decoders.borrow().get(&key).map_or(0, DeltaDecoder::known);
            let delta = engine::counts_since(&self.gateway, key, known).await?;
            let counts = self.decoders.borrow_mut().entry(key).or_default().decode(delta)?;
            Some((key, counts))
        });
        join_all(reads).await.into_iter().flatten().collect()
    }

    /// The ranks in the own data centre, with others up to [`MIN_SIDECAR_RANKS`] if they are fewer.
    fn sidecar_ranks(&self, ranks: &[Key<Server>]) -> Vec<Key<Server>> {
        let own = self.gateway.with_members(|members| members.own().data_centre.clone());
        let (mut local, remote): (Vec<_>, Vec<_>) = self.gateway.with_pool(|pool| {
            let is_local = |key: &Key<Server>| pool.server(*key).listed.data_centre == own;
            ranks.iter().copied().partition(is_local)
        });
        let missing = MIN_SIDECAR_RANKS.saturating_sub(local.len());
        local.extend(remote.into_iter().take(missing));
        local
    }

    /// Records how many ranks answered. If most did not, this gateway is considered cut off: it
    /// stops advertising its leadership, so that a gateway that reaches the ranks takes over.
    fn record_reached(&self, reached: usize, all: usize) {
        let now = self.gateway.now();
        if 2 * reached >= all {
            if self.unreached_since.take().is_some() {
                self.gateway.with_members(|members| members.advertise_leadership(true));
            }
            return;
        }
        let since = self.unreached_since.get().unwrap_or(now);
        if self.unreached_since.replace(Some(since)).is_none() {
            let line = format_args!("only {reached} of {all} ranks of {} answer", self.name);
            self.gateway.event_log.state(line);
        }
        if now.since(since) >= MAX_UNREACHED_TIME {
            self.gateway.with_members(|members| members.advertise_leadership(false));
        }
    }

    /// Reads the counts of one rank. The same few ranks are read in turn, since demand is estimated
    /// from the difference between two reads of the same rank. Each read has a price, so most are
    /// skipped while the groups have no work.
    async fn read_directly(&self, ranks: &[Key<Server>]) -> Option<(Key<Server>, Counts)> {
        let skipped_reads = self.skipped_reads.get();
        if !self.demand.borrow().busy && skipped_reads < MAX_SKIPPED_READS {
            self.skipped_reads.set(skipped_reads + 1);
            return None;
        }
        self.skipped_reads.set(0);
        let stride = (ranks.len() / MAX_DIRECT_RANKS).max(1);
        let sample = self.next_sample.replace(self.next_sample.get().wrapping_add(1))
            % MAX_DIRECT_RANKS.min(ranks.len());
        let key = ranks[sample * stride];
        Some((key, engine::counts(&self.gateway, key, Path::Any).await?))
    }

    /// Whether this gateway may begin to change a map.
    fn may_change_map(&self) -> bool {
        let now = self.gateway.now();
        !self.leadership.is_over()
            && self.gateway.with_members(|members| members.may_send_orders(now))
    }

    fn are_present(&self, ranks: &[Key<Server>]) -> bool {
        self.gateway.with_pool(|pool| ranks.iter().all(|key| pool.is_present(*key)))
    }

    fn ranks_of(&self, group: &str) -> Option<Vec<Key<Server>>> {
        self.groups.borrow().get(group)?.iter().copied().collect()
    }
}
