//! Membership table of the gateways: records from peers and rows of the platform's table go in.
//! It keeps the newest heartbeat of each gateway and the time since that gateway was alive.
//! It decides which gateways callers get, which one leads and which follow the store closely.
//!
//! Each gateway increments a heartbeat and gossips it to a few peers, with the newest heartbeats
//! that it knows of all others. A gateway whose heartbeat does not advance is suspected and is no
//! longer given to callers. It is removed only much later, so that gateways on both sides of a
//! network cut contact each other again once the cut is over.
//!
//! Each exchange names every gateway, so the data on one gateway is short: a [`Heartbeat`] holds an
//! identifier of the incarnation and the fields that change during it. Names and addresses are sent
//! only to peers that lack them. With 149 gateways a message has 2 kB in place of 22.
//!
//! Each record has an age. Peers may keep a removed gateway for longer, or may know an older
//! heartbeat, so a record that is new to this gateway does not prove that its gateway is alive.

mod callers;
mod liveness;
mod record;
mod table;

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::collections::HashSet;
use std::net::IpAddr;
use std::net::SocketAddr;

use rand::Rng;
use rand::RngExt;

pub use self::callers::Distance;
pub use self::liveness::Liveness;
pub use self::liveness::LivenessChange;
use self::liveness::LivenessTracker;
pub use self::record::Heartbeat;
pub use self::record::IncarnationId;
pub use self::record::Member;
pub use self::record::MemberRecord;
pub use self::record::Readiness;
use crate::clock::Millis;
use crate::util::hash;

/// Time-outs and limits of a [`Members`].
#[derive(Clone, Copy, Debug)]
pub struct Config {
    /// Time without a heartbeat after which a gateway is suspected and not given to callers.
    pub suspect_after: Millis,
    /// Time without a heartbeat after which a gateway is removed and not contacted again.
    pub remove_after: Millis,
    /// Time after which the row of a listed gateway without any record from a peer is removed.
    pub unlist_after: Millis,
    /// Gateways of each data centre that follow the store closely.
    pub close_followers: usize,
    /// Mean time between polls of an overdue table by different gateways that do not follow closely, so
    /// that their rate does not grow with the fleet.
    pub loose_poll_spacing: Millis,
    /// Time between two gossip exchanges that one gateway starts.
    pub gossip_interval: Millis,
    /// Time without a gossip exchange after which this gateway follows the store closely, too.
    pub isolated_after: Millis,
}

impl Default for Config {
    /// Heartbeats are sent each 0.6 s and reach all gateways in two or three gossip rounds. A
    /// minute covers the network cuts that the users' deployments list. With three close followers
    /// in each of three data centres, at least one of the nine remains when half of all machines
    /// fail at once, except in one of 500 cases. Exchanges start each 0.6 s and time out after 0.5
    /// s, so 1.5 s without an exchange means that two have failed. During a cut the rows of the
    /// other side are removed and written again, which costs one call for each row in ten minutes.
    fn default() -> Self {
        Config {
            suspect_after: Millis(3_000),
            remove_after: Millis(60_000),
            unlist_after: Millis(600_000),
            close_followers: 3,
            loose_poll_spacing: Millis(100),
            gossip_interval: Millis(600),
            isolated_after: Millis(1_500),
        }
    }
}

/// How closely a gateway follows the tables of the store.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StoreFollowing {
    /// It waits for changes at the store, and is the first of its data centre to ask again after one.
    First,
    /// It waits for changes at the store.
    Close,
    /// It receives changes from close followers, and polls only while a table is overdue.
    Loose,
}

/// One of so many random picks of a peer includes suspected gateways.
const SUSPECTED_PICK_ONE_IN: u8 = 4;

/// Gossip rounds added to those in which the number of informed gateways doubles: the last few
/// gateways are reached only when a peer picks them at random.
const EXTRA_GOSSIP_ROUNDS: u64 = 1;

/// Minimum number of gossip rounds for which a claim of leadership is protected, also when its
/// holder knows few gateways.
const MIN_GOSSIP_ROUNDS: u64 = 4;

#[derive(Clone, Debug)]
struct Entry {
    member: Member,
    /// When a record of it was applied, or it was read from the platform's table.
    updated_at: Millis,
    /// Time since the gateway was alive, at the time of the update; `None` without any record from
    /// a peer. An age in place of a moment, since the moment is often before the start of this
    /// process, where its clock has no values.
    age_at_update: Option<Millis>,
    /// Whether it could not be reached since.
    unreachable: bool,
}

impl Entry {
    fn listed(member: &Member, now: Millis) -> Entry {
        Entry { member: member.clone(), updated_at: now, age_at_update: None, unreachable: false }
    }

    /// Applies a newer record. The smaller of both ages holds: a gateway that is alive now was
    /// alive at all earlier moments that peers reported.
    fn apply(&mut self, received: Member, age: Millis, now: Millis) {
        let min_age = self.age(now).map_or(age, |known| known.min(age));
        *self = Entry {
            member: received,
            updated_at: now,
            age_at_update: Some(min_age),
            unreachable: false,
        };
    }

    /// Time since the gateway was alive; `None` without any record from a peer.
    fn age(&self, now: Millis) -> Option<Millis> {
        Some(self.age_at_update? + now.since(self.updated_at))
    }

    /// Whether the received record is newer: of a later process, of a later heartbeat, or the
    /// first.
    fn is_behind(&self, received: &Member) -> bool {
        let known = self.member.recency();
        received.recency() > known || (self.age_at_update.is_none() && received.recency() >= known)
    }
}

/// All gateways that this one knows, itself included.
#[derive(Clone, Debug)]
pub struct Members {
    config: Config,
    own: Member,
    /// Fencing token with which it leads expert maps, advertised to others or not; 0 if it does
    /// not.
    leader_fencing_token: u64,
    others: BTreeMap<String, Entry>,
    /// Names of the other gateways by incarnation.
    names_by_id: HashMap<IncarnationId, String>,
    /// Time of the last gossip exchange.
    exchanged_at: Option<Millis>,
    /// Names in the platform's table when it was read last; `None` before.
    listed: Option<HashSet<String>>,
    /// Names of removed gateways that may be alive behind a partition, each with the time until
    /// which it counts.
    removed_names: HashMap<String, Millis>,
    /// Names in that table before the store was restored from an older copy, each with the time
    /// until which it counts.
    listed_before: HashMap<String, Millis>,
    liveness: LivenessTracker,
}

impl Members {
    /// A gateway that knows no other.
    pub fn new(config: Config, own: Member) -> Members {
        Members {
            config,
            own,
            leader_fencing_token: 0,
            others: BTreeMap::new(),
            names_by_id: HashMap::new(),
            exchanged_at: None,
            listed: None,
            removed_names: HashMap::new(),
            listed_before: HashMap::new(),
            liveness: LivenessTracker::default(),
        }
    }

    /// Time between two gossip exchanges that one gateway starts.
    pub fn gossip_interval(&self) -> Millis {
        self.config.gossip_interval
    }

    /// This gateway.
    pub fn own(&self) -> &Member {
        &self.own
    }

    /// Increments the own heartbeat.
    pub fn advance_heartbeat(&mut self) {
        self.own.heartbeat += 1;
    }

    /// Sets whether callers are to be sent to this gateway.
    pub fn set_readiness(&mut self, readiness: Readiness) {
        self.own.readiness = readiness;
    }

    /// Sets whether the platform's store answers this gateway.
    pub fn set_store_answers(&mut self, answers: bool) {
        self.own.store_answers = answers;
    }

    /// Records that this gateway leads expert maps with a fencing token.
    pub fn begin_leadership(&mut self, token: u64) {
        self.leader_fencing_token = token;
        self.own.leader_fencing_token = token;
    }

    /// The highest fencing token of all known gateways, alive or not, this one included; 0 if none.
    pub fn highest_fencing_token(&self) -> u64 {
        let tokens = self.others.values().map(|entry| entry.member.leader_fencing_token);
        tokens.chain([self.leader_fencing_token]).max().unwrap_or_default()
    }

    /// Sets whether the own leadership is advertised. While it is not, another gateway may take it
    /// over; until then this gateway continues to lead.
    pub fn advertise_leadership(&mut self, advertised: bool) {
        self.own.leader_fencing_token = if advertised { self.leader_fencing_token } else { 0 };
    }

    /// Ends the leadership with this token. A leadership that began since with another token
    /// continues.
    pub fn end_leadership(&mut self, token: u64) {
        if self.leader_fencing_token == token {
            self.leader_fencing_token = 0;
            self.own.leader_fencing_token = 0;
        }
    }

    /// Applies a record of any gateway that another gateway sent.
    pub fn apply_record(&mut self, record: &MemberRecord, now: Millis) {
        let received = &record.member;
        if received.name == self.own.name {
            // A record of another process of this instance: this process takes a higher
            // incarnation.
            let known = (self.own.incarnation, self.own.heartbeat);
            if (received.incarnation, received.heartbeat) > known {
                self.own.incarnation = received.incarnation + 1;
            }
            return;
        }
        let known = self.others.get(&received.name).cloned();
        let mut entry = known.unwrap_or_else(|| Entry::listed(received, now));
        if record.age < self.config.remove_after && entry.is_behind(received) {
            entry.apply(received.clone(), record.age, now);
            self.insert(entry);
        }
    }

    fn insert(&mut self, entry: Entry) {
        let (name, incarnation_id) = (entry.member.name.clone(), entry.member.incarnation_id());
        let before = self.others.insert(name.clone(), entry);
        if let Some(before) =
            before.map(|before| before.member.incarnation_id()).filter(|old| *old != incarnation_id)
        {
            self.names_by_id.remove(&before);
        }
        self.names_by_id.insert(incarnation_id, name);
    }

    /// Applies heartbeats that another gateway sent, and returns the incarnations that are not
    /// known here: their records have to be requested.
    pub fn apply_heartbeats(&mut self, beats: &[Heartbeat], now: Millis) -> Vec<IncarnationId> {
        let (own, remove_after) = (self.own.incarnation_id(), self.config.remove_after);
        let mut unknown = Vec::new();
        // A record that would be removed at once is not requested.
        for beat in
            beats.iter().filter(|beat| beat.incarnation_id != own && beat.age < remove_after)
        {
            let known = self
                .names_by_id
                .get(&beat.incarnation_id)
                .and_then(|name| self.others.get_mut(name));
            let Some(entry) = known else {
                unknown.push(beat.incarnation_id);
                continue;
            };
            let received = entry.member.with_heartbeat(beat);
            if entry.is_behind(&received) {
                entry.apply(received, beat.age, now);
            }
        }
        unknown
    }

    /// Heartbeats to send: of all known gateways with a record from a peer, and of this one.
    pub fn heartbeats(&self, now: Millis) -> Vec<Heartbeat> {
        let others = self.others.values();
        let beat =
            |entry: &Entry| Some(entry.member.to_heartbeat(self.advertised_age(entry, now)?));
        others.filter_map(beat).chain([self.own.to_heartbeat(Millis::ZERO)]).collect()
    }

    /// Records that the sender of these heartbeats lacks.
    pub fn records_missing_from(&self, received: &[Heartbeat], now: Millis) -> Vec<MemberRecord> {
        let received: HashSet<IncarnationId> =
            received.iter().map(|beat| beat.incarnation_id).collect();
        let others =
            self.others.values().filter(|entry| !received.contains(&entry.member.incarnation_id()));
        let own = (!received.contains(&self.own.incarnation_id())).then(|| self.own_record());
        others.filter_map(|entry| self.record(entry, now)).chain(own).collect()
    }

    /// Records of these incarnations, as far as they are known.
    pub fn records_of(&self, ids: &[IncarnationId], now: Millis) -> Vec<MemberRecord> {
        let known = |incarnation_id: &IncarnationId| {
            let other = self.names_by_id.get(incarnation_id).and_then(|name| self.others.get(name));
            let is_own = *incarnation_id == self.own.incarnation_id();
            other.and_then(|entry| self.record(entry, now)).or(is_own.then(|| self.own_record()))
        };
        ids.iter().filter_map(known).collect()
    }

    /// The record that this gateway sends of itself.
    pub fn own_record(&self) -> MemberRecord {
        MemberRecord { member: self.own.clone(), age: Millis::ZERO }
    }

    /// The gateways that are alive and ready, this one included, in an order that is the same at
    /// all gateways: the first one grants what is limited for all gateways together. Never empty:
    /// while no gateway is ready, this one grants for itself.
    pub fn serving_gateways(&self, now: Millis) -> Vec<&Member> {
        let alive = self.alive_others(now).chain([&self.own]);
        let mut ready: Vec<&Member> =
            alive.filter(|member| member.readiness == Readiness::Ready).collect();
        ready.sort_by_cached_key(|member| (hash::of(&member.name), member.name.clone()));
        if ready.is_empty() {
            ready.push(&self.own);
        }
        ready
    }

    /// Records that a gateway could not be reached: callers are not sent there until a newer record
    /// of it arrives.
    pub fn mark_unreachable(&mut self, peers_at: SocketAddr) {
        let found = self.others.values_mut().find(|entry| entry.member.peers_at == peers_at);
        if let Some(entry) = found {
            entry.unreachable = true;
        }
    }

    /// All known gateways, this one included.
    pub fn known(&self) -> impl Iterator<Item = &Member> {
        self.others.values().map(|entry| &entry.member).chain([&self.own])
    }

    /// Whether a process of a gateway has been replaced by a later one.
    pub fn is_replaced(&self, name: &str, incarnation: u64) -> bool {
        let later = |member: &Member| member.name == name && member.incarnation > incarnation;
        incarnation > 0 && self.known().any(later)
    }

    /// Removes gateways that were not alive for [`Config::remove_after`]. The age since they were
    /// alive counts, so that all gateways remove them at about the same time. Gateways that are
    /// known from the platform's table alone stay as long as their rows.
    pub fn remove_expired(&mut self, now: Millis) {
        let Config { remove_after, unlist_after, .. } = self.config;
        self.removed_names.retain(|_, until| *until > now);
        let is_expired =
            |_: &String, entry: &mut Entry| entry.age(now).is_some_and(|age| age >= remove_after);
        for (name, entry) in self.others.extract_if(.., is_expired) {
            if entry.member.readiness != Readiness::Leaving {
                self.removed_names.insert(name, now + unlist_after);
            }
        }
        self.remove_stale_ids();
    }

    fn remove_stale_ids(&mut self) {
        let others = &self.others;
        self.names_by_id.retain(|_, name| others.contains_key(name));
    }

    /// Other gateways whose state changed since the last call: they became alive, became suspected,
    /// or were removed.
    pub fn liveness_changes(&mut self, now: Millis) -> Vec<LivenessChange> {
        let state = |entry: &Entry| match self.is_alive(entry, now) {
            true => Liveness::Alive,
            false => Liveness::Suspected,
        };
        let observed = |(name, entry): (&String, &Entry)| {
            (name.clone(), (entry.member.heartbeat, state(entry)))
        };
        let known = self.others.iter().map(observed).collect();
        self.liveness.update(known)
    }

    /// Number of gateways that are alive, this one included.
    pub fn count_alive(&self, now: Millis) -> usize {
        1 + self.alive_others(now).count()
    }

    /// Whether this gateway is to lead expert maps, as far as it knows. A leader continues until it
    /// stops or is suspected, since each new leader has to learn the groups and their demand anew.
    /// Of several leaders the one with the highest token continues. Without a leader it is the
    /// first of the gateways that the store answers, in the order of
    /// [`Members::count_preferred_leaders`].
    pub fn should_lead(&self, now: Millis) -> bool {
        let alive = self.alive_others(now);
        let ready = alive.filter(|member| member.readiness == Readiness::Ready);
        let highest =
            ready.clone().map(|member| member.leader_fencing_token).max().unwrap_or_default();
        if self.leader_fencing_token > 0 || highest > 0 {
            return self.leader_fencing_token > highest;
        }
        // A gateway that cannot reach the store cannot claim leadership.
        self.is_preferred_candidate(now)
    }

    /// Whether this gateway is the first of the gateways that are alive and that the store answers,
    /// in the order of [`Members::count_preferred_leaders`].
    fn is_preferred_candidate(&self, now: Millis) -> bool {
        let ready = |member: &&Member| member.readiness == Readiness::Ready && member.store_answers;
        let mut candidates = self.alive_others(now).filter(ready).map(Member::leadership_order);
        candidates.all(|order| order > self.own.leadership_order()) && self.own.store_answers
    }

    /// Number of gateways, alive or not, that are preferred to this one as leader: those with more
    /// memory, then by name.
    pub fn count_preferred_leaders(&self) -> usize {
        let others = self.others.values().map(|entry| entry.member.leadership_order());
        others.filter(|order| *order < self.own.leadership_order()).count()
    }

    /// Records a gossip exchange with another gateway.
    pub fn record_exchange(&mut self, now: Millis) {
        self.exchanged_at = Some(now);
    }

    /// How closely this gateway follows the store. The first gateways by name of each data centre
    /// follow closely, of those that the store answers, and so does a gateway without a recent
    /// gossip exchange. They send the others what these lack.
    pub fn store_following(&self, now: Millis) -> StoreFollowing {
        let is_alone =
            self.exchanged_at.is_none_or(|at| now.since(at) >= self.config.isolated_after);
        let is_preferred = |member: &&Member| {
            member.data_centre == self.own.data_centre
                && member.readiness == Readiness::Ready
                && member.store_answers
                && member.name < self.own.name
        };
        match self.alive_others(now).filter(is_preferred).count() {
            _ if is_alone => StoreFollowing::First,
            0 => StoreFollowing::First,
            before if before < self.config.close_followers => StoreFollowing::Close,
            _ => StoreFollowing::Loose,
        }
    }

    /// Random time from when a table is overdue until this gateway polls it, while it does not follow
    /// closely.
    pub fn loose_poll_delay<R: Rng>(&self, rng: &mut R) -> Millis {
        let fleet = 1 + self.others.len() as u64;
        Millis(rng.random_range(0..=self.config.loose_poll_spacing.0 * fleet))
    }

    /// Addresses for gossip of the other gateways that are alive.
    pub fn alive_peers(&self, now: Millis) -> Vec<SocketAddr> {
        self.alive_others(now).map(|member| member.peers_at).collect()
    }

    /// Addresses of the other instances whose gateways are alive and ready.
    pub fn ready_instances(&self, now: Millis) -> Vec<IpAddr> {
        let ready = self.alive_others(now).filter(|member| member.readiness == Readiness::Ready);
        ready.map(|member| member.callers_at.ip()).collect()
    }

    /// Time until all gateways know of a new leader: in each gossip round the number of gateways
    /// that know at least doubles. Suspected gateways count, since a gateway that has just started
    /// knows few that are alive.
    pub fn propagation_time(&self) -> Millis {
        let known = 1 + self.others.len();
        let doublings = u64::from(usize::BITS - known.leading_zeros()) + EXTRA_GOSSIP_ROUNDS;
        Millis(self.config.gossip_interval.0 * doublings.max(MIN_GOSSIP_ROUNDS))
    }

    /// Whether this gateway leads, advertises its leadership, and knows of no higher token. A
    /// change of a map begins only then. A leader that does not advertise may have been replaced,
    /// and servers need not check fencing tokens.
    pub fn may_send_orders(&self, now: Millis) -> bool {
        self.own.leader_fencing_token > 0 && self.should_lead(now)
    }

    /// Another gateway of the own data centre to gossip with, picked at random.
    pub fn random_local_peer<R: Rng>(&self, now: Millis, rng: &mut R) -> Option<SocketAddr> {
        let is_local = |member: &&Member| member.data_centre == self.own.data_centre;
        let local: Vec<&Member> = self.alive_others(now).filter(is_local).collect();
        (!local.is_empty()).then(|| local[rng.random_range(0..local.len())].peers_at)
    }

    /// Another gateway to gossip with, picked at random; now and then a suspected one.
    pub fn random_peer<R: Rng>(&self, now: Millis, rng: &mut R) -> Option<SocketAddr> {
        let include_suspected =
            rng.random_range(0..SUSPECTED_PICK_ONE_IN) == 0 || self.count_alive(now) == 1;
        let all = self.others.values();
        let open: Vec<&Entry> =
            all.filter(|entry| include_suspected || self.is_alive(entry, now)).collect();
        if open.is_empty() {
            return None;
        }
        Some(open[rng.random_range(0..open.len())].member.peers_at)
    }

    /// The other gateways that are alive, by name.
    fn alive_others(&self, now: Millis) -> impl Iterator<Item = &Member> + Clone {
        let alive = self.others.values().filter(move |entry| self.is_alive(entry, now));
        alive.map(|entry| &entry.member)
    }

    fn record(&self, entry: &Entry, now: Millis) -> Option<MemberRecord> {
        Some(MemberRecord { member: entry.member.clone(), age: self.advertised_age(entry, now)? })
    }

    /// The age to send with a record; `None` if the record is not sent. A gateway that is about to
    /// be removed is not advertised any more: a peer that has just removed it would add it again.
    fn advertised_age(&self, entry: &Entry, now: Millis) -> Option<Millis> {
        entry.age(now).filter(|age| *age + self.config.suspect_after < self.config.remove_after)
    }

    /// Whether a record of a gateway arrived lately, and of a time that is not long past. The
    /// second check is needed since a gateway that has just started, was cut off or had removed
    /// another one receives records of stopped gateways, too. Records of a gateway that is alive
    /// arrive within the added propagation time, so that this check does not make it suspected.
    fn is_alive(&self, entry: &Entry, now: Millis) -> bool {
        let oldest = self.config.suspect_after + self.propagation_time();
        let was_alive_lately = entry.age(now).is_some_and(|age| age < oldest);
        was_alive_lately
            && !entry.unreachable
            && now.since(entry.updated_at) < self.config.suspect_after
    }
}
