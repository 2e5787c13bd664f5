//! Which gateways there are, as this one has heard.
//!
//! Each gateway counts a heartbeat up and tells it to a few others, with the newest that it has
//! heard of everyone. A gateway whose heartbeat stands still is not given to callers any more, and
//! is forgotten only much later: after a cut, whoever was on the other side is asked again.
//!
//! Each exchange of news names every gateway, so what it says of one is kept short: a [`Heartbeat`], a
//! number for one incarnation of a gateway and what changes while it lives. Names and addresses go only to
//! whoever lacks them. With 149 gateways a message has 2 kB in place of 22.
//!
//! What is told of a gateway comes with its age. Others remember longer, or have heard less, so that
//! a word is new here does not show that the gateway lives.

mod liveness;
mod record;

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::collections::HashSet;
use std::net::IpAddr;
use std::net::SocketAddr;

use rand::Rng;
use rand::RngExt;

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

/// Times of a [`Members`].
#[derive(Clone, Copy, Debug)]
pub struct Config {
    /// Time without a heartbeat after which callers are not sent there.
    pub suspect_after: Millis,
    /// Time without a heartbeat after which it is not asked again.
    pub forget_after: Millis,
    /// Time in which nobody heard of a gateway that is listed, after which its row is removed.
    pub unlist_after: Millis,
    /// Gateways of each data centre that follow the store closely.
    pub close_followers: usize,
    /// Time between two exchanges of news by one gateway.
    pub gossip_interval: Millis,
    /// Time without an exchange of news after which this one follows the store closely, too.
    pub isolated_after: Millis,
}

impl Default for Config {
    /// Heartbeats come each 0.6 s and cross the fleet in two or three rounds; a minute covers the
    /// cuts that the users' deployments list. Three close followers: of nine in three data centres one
    /// is left where half of all machines fail at once, but for once in 500 times. Exchanges are made
    /// each 0.6 s and time out after 0.5 s, so 1.5 s are two that failed. Rows of the other side of a
    /// cut are removed and written again, one call each in ten minutes.
    fn default() -> Self {
        Config {
            suspect_after: Millis(3_000),
            forget_after: Millis(60_000),
            unlist_after: Millis(600_000),
            close_followers: 3,
            gossip_interval: Millis(600),
            isolated_after: Millis(1_500),
        }
    }
}

/// Of so many draws, one takes gateways that were silent, too.
const SILENT_DRAWS: u8 = 4;

/// Rounds of news after those in which as many gateways hear as knew before: the last few are drawn by
/// chance.
const SPREAD_TAIL: u64 = 1;

/// Rounds of news that a claim is protected at least, however few gateways its holder has heard of.
const LEAST_SPREAD: u64 = 4;

#[derive(Clone, Debug)]
struct Heard {
    member: Member,
    /// When news of it came, or it was read from the platform's table.
    taken_at: Millis,
    /// How long ago it had lived then; `None` if nobody has told of it. Not the moment at which it lived:
    /// that is often before this process began, where its clock has no times.
    age_then: Option<Millis>,
    /// Whether it could not be reached since.
    unreachable: bool,
}

impl Heard {
    fn listed(member: &Member, now: Millis) -> Heard {
        Heard { member: member.clone(), taken_at: now, age_then: None, unreachable: false }
    }

    /// Takes news of it; whoever lives now has lived at all earlier moments that were told.
    fn take(&mut self, told: Member, age: Millis, now: Millis) {
        let least = self.age(now).map_or(age, |known| known.min(age));
        *self = Heard { member: told, taken_at: now, age_then: Some(least), unreachable: false };
    }

    /// Time since it lived; `None` if nobody has told of it.
    fn age(&self, now: Millis) -> Option<Millis> {
        Some(self.age_then? + now.since(self.taken_at))
    }

    /// Whether this is news: of a later process, of a later heartbeat, or the first.
    fn is_behind(&self, told: &Member) -> bool {
        let known = self.member.moment();
        told.moment() > known || (self.age_then.is_none() && told.moment() >= known)
    }
}

/// All gateways that this one has heard of, itself included.
#[derive(Clone, Debug)]
pub struct Members {
    config: Config,
    own: Member,
    /// Fencing token with which it leads expert maps, told to others or not; 0 if it does not.
    leader_fencing_token: u64,
    others: BTreeMap<String, Heard>,
    /// Names of the lives of the others.
    lives: HashMap<IncarnationId, String>,
    /// When news were exchanged last.
    exchanged_at: Option<Millis>,
    /// Names that stood in the platform's table when it was read last; `None` before.
    listed: Option<HashSet<String>>,
    /// Names that stood there before the store came back from an older copy, and until when they count.
    listed_before: HashMap<String, Millis>,
    liveness: LivenessTracker,
}

impl Members {
    /// A gateway that has heard of none other.
    pub fn new(config: Config, own: Member) -> Members {
        Members {
            config,
            own,
            leader_fencing_token: 0,
            others: BTreeMap::new(),
            lives: HashMap::new(),
            exchanged_at: None,
            listed: None,
            listed_before: HashMap::new(),
            liveness: LivenessTracker::default(),
        }
    }

    /// Time between two exchanges of news by one gateway.
    pub fn gossip_interval(&self) -> Millis {
        self.config.gossip_interval
    }

    /// This gateway.
    pub fn own(&self) -> &Member {
        &self.own
    }

    /// Counts the own heartbeat up.
    pub fn advance_heartbeat(&mut self) {
        self.own.heartbeat += 1;
    }

    /// Says whether callers shall be sent here.
    pub fn set_readiness(&mut self, readiness: Readiness) {
        self.own.readiness = readiness;
    }

    /// Says whether the platform's store answers this gateway.
    pub fn set_store_answers(&mut self, answers: bool) {
        self.own.store_answers = answers;
    }

    /// This gateway leads expert maps with a fencing token.
    pub fn begin_leadership(&mut self, fence: u64) {
        self.leader_fencing_token = fence;
        self.own.leader_fencing_token = fence;
    }

    /// The highest fencing token that this gateway has or has heard of, living or not; 0 if none.
    pub fn highest_fencing_token(&self) -> u64 {
        let heard = self.others.values().map(|heard| heard.member.leader_fencing_token);
        heard.chain([self.leader_fencing_token]).max().unwrap_or_default()
    }

    /// Whether others are told of the lead. Where they are not, one of them may take it over; until
    /// then it goes on.
    pub fn advertise_leadership(&mut self, told: bool) {
        self.own.leader_fencing_token = if told { self.leader_fencing_token } else { 0 };
    }

    /// The lead with this token is over; one that began since goes on.
    pub fn end_leadership(&mut self, fence: u64) {
        if self.leader_fencing_token == fence {
            self.leader_fencing_token = 0;
            self.own.leader_fencing_token = 0;
        }
    }

    /// Takes what another gateway tells of any gateway.
    pub fn apply_record(&mut self, word: &MemberRecord, now: Millis) {
        let told = &word.member;
        if told.name == self.own.name {
            // Record of another process of this instance: outlive it.
            let known = (self.own.incarnation, self.own.heartbeat);
            if (told.incarnation, told.heartbeat) > known {
                self.own.incarnation = told.incarnation + 1;
            }
            return;
        }
        let known = self.others.get(&told.name).cloned();
        let mut heard = known.unwrap_or_else(|| Heard::listed(told, now));
        if word.age < self.config.forget_after && heard.is_behind(told) {
            heard.take(told.clone(), word.age, now);
            self.insert(heard);
        }
    }

    fn insert(&mut self, heard: Heard) {
        let (name, incarnation_id) = (heard.member.name.clone(), heard.member.incarnation_id());
        let before = self.others.insert(name.clone(), heard);
        if let Some(before) =
            before.map(|before| before.member.incarnation_id()).filter(|old| *old != incarnation_id)
        {
            self.lives.remove(&before);
        }
        self.lives.insert(incarnation_id, name);
    }

    /// Takes what another gateway tells of those that it knows, and returns the lives that are not
    /// known here: what they are has to be asked.
    pub fn apply_heartbeats(&mut self, beats: &[Heartbeat], now: Millis) -> Vec<IncarnationId> {
        let (own, forget) = (self.own.incarnation_id(), self.config.forget_after);
        let mut unknown = Vec::new();
        // Who would be forgotten at once is not asked for.
        for beat in beats.iter().filter(|beat| beat.incarnation_id != own && beat.age < forget) {
            let known =
                self.lives.get(&beat.incarnation_id).and_then(|name| self.others.get_mut(name));
            let Some(heard) = known else {
                unknown.push(beat.incarnation_id);
                continue;
            };
            let told = heard.member.with_beat(beat);
            if heard.is_behind(&told) {
                heard.take(told, beat.age, now);
            }
        }
        unknown
    }

    /// What is told of all that were heard of, itself included.
    pub fn heartbeats(&self, now: Millis) -> Vec<Heartbeat> {
        let others = self.others.values();
        let beat = |heard: &Heard| Some(heard.member.to_heartbeat(self.told_age(heard, now)?));
        others.filter_map(beat).chain([self.own.to_heartbeat(Millis::ZERO)]).collect()
    }

    /// Those that one who told these beats does not know.
    pub fn records_missing_from(&self, told: &[Heartbeat], now: Millis) -> Vec<MemberRecord> {
        let told: HashSet<IncarnationId> = told.iter().map(|beat| beat.incarnation_id).collect();
        let others =
            self.others.values().filter(|heard| !told.contains(&heard.member.incarnation_id()));
        let own = (!told.contains(&self.own.incarnation_id())).then(|| self.own_record());
        others.filter_map(|heard| self.word(heard, now)).chain(own).collect()
    }

    /// Those of the lives that were heard of.
    pub fn records_of(&self, lives: &[IncarnationId], now: Millis) -> Vec<MemberRecord> {
        let known = |incarnation_id: &IncarnationId| {
            let other = self.lives.get(incarnation_id).and_then(|name| self.others.get(name));
            let is_own = *incarnation_id == self.own.incarnation_id();
            other.and_then(|heard| self.word(heard, now)).or(is_own.then(|| self.own_record()))
        };
        lives.iter().filter_map(known).collect()
    }

    /// What this gateway tells of itself.
    pub fn own_record(&self) -> MemberRecord {
        MemberRecord { member: self.own.clone(), age: Millis::ZERO }
    }

    /// Takes the platform's table of gateways. That one is listed does not show that it lives: whoever
    /// is not known yet is asked, and counts as living once it is heard of. Returns the rows to remove:
    /// of gateways that nobody has heard of for long, and of all gateways one removes them. Left, they
    /// would be asked, and waited for in taking the lead, for ever. Whoever lives lists itself again.
    pub fn apply_table(&mut self, listed: &[Member], now: Millis) -> Vec<String> {
        let names: HashSet<&str> = listed.iter().map(|member| member.name.as_str()).collect();
        self.listed_before.retain(|name, until| *until > now && !names.contains(name.as_str()));
        let before = &self.listed_before;
        let is_listed = |heard: &Heard| {
            let name = heard.member.name.as_str();
            names.contains(name) || before.contains_key(name)
        };
        self.listed = Some(names.iter().copied().map(str::to_owned).collect());
        self.others.retain(|_, heard| heard.age_then.is_some() || is_listed(heard));
        for member in listed {
            if member.name != self.own.name && !self.others.contains_key(&member.name) {
                self.insert(Heard::listed(member, now));
            }
        }
        self.forget_lives();
        if !self.is_first_able(now) {
            return Vec::new();
        }
        let unheard = |heard: &&Heard| {
            heard.age_then.is_none() && now.since(heard.taken_at) >= self.config.unlist_after
        };
        let found = self.others.values().filter(unheard);
        found.map(|heard| heard.member.name.clone()).collect()
    }

    /// The store came back from an older copy: rows of the platform's table may be missing until their gateways
    /// have written them again, which those that are cut off cannot. They count as long as a row would.
    pub fn begin_era(&mut self, now: Millis) {
        let until = now + self.config.unlist_after;
        let listed = self.listed.iter().flatten();
        self.listed_before.extend(listed.map(|name| (name.clone(), until)));
    }

    /// Whether the platform's table was read, and neither it nor anybody named another gateway.
    pub fn is_listed_alone(&self) -> bool {
        self.listed.is_some() && self.others.is_empty()
    }

    /// How many gateways there are, living or not, itself included: those that are remembered or listed, but for those
    /// that said that they stop and did. `None` while nobody has told.
    pub fn fleet_size(&self, now: Millis) -> Option<usize> {
        if self.listed.is_none() && self.exchanged_at.is_none() {
            return None;
        }
        let has_stopped = |name: &str| {
            let heard = self.others.get(name);
            heard.is_some_and(|heard| {
                heard.member.readiness == Readiness::Leaving && !self.lives(heard, now)
            })
        };
        let listed = self.listed.iter().flatten().map(String::as_str);
        let before = self.listed_before.iter().filter(|(_, until)| **until > now);
        let listed = listed.chain(before.map(|(name, _)| name.as_str()));
        let names: HashSet<&str> = self.others.keys().map(String::as_str).chain(listed).collect();
        let others = names.into_iter().filter(|name| *name != self.own.name && !has_stopped(name));
        Some(1 + others.count())
    }

    /// The gateways that live and serve, itself included, in an order that all know: who comes first gives out what is
    /// bounded for all. Never empty: while no other serves, this one does for itself.
    pub fn serving_gateways(&self, now: Millis) -> Vec<&Member> {
        let living = self.living_others(now).chain([&self.own]);
        let mut ready: Vec<&Member> =
            living.filter(|member| member.readiness == Readiness::Ready).collect();
        ready.sort_by_cached_key(|member| (hash::of(&member.name), member.name.clone()));
        if ready.is_empty() {
            ready.push(&self.own);
        }
        ready
    }

    /// A gateway could not be reached: callers are not sent there until it is heard of again.
    pub fn mark_unreachable(&mut self, peers_at: SocketAddr) {
        let found = self.others.values_mut().find(|heard| heard.member.peers_at == peers_at);
        if let Some(heard) = found {
            heard.unreachable = true;
        }
    }

    /// All that are remembered, itself included.
    pub fn known(&self) -> impl Iterator<Item = &Member> {
        self.others.values().map(|heard| &heard.member).chain([&self.own])
    }

    /// Forgets those that were silent for long: by when they lived, so that all forget them at about
    /// the same time. Those that are known from the table alone are known as long as they stand in it.
    pub fn remove_expired(&mut self, now: Millis) {
        let forget = self.config.forget_after;
        self.others.retain(|_, heard| heard.age(now).is_none_or(|age| age < forget));
        self.forget_lives();
    }

    fn forget_lives(&mut self) {
        let others = &self.others;
        self.lives.retain(|_, name| others.contains_key(name));
    }

    /// Which others are seen otherwise than at the look before: they were heard of, fell silent, or
    /// were forgotten.
    pub fn liveness_changes(&mut self, now: Millis) -> Vec<LivenessChange> {
        let sight = |heard: &Heard| match self.lives(heard, now) {
            true => Liveness::Alive,
            false => Liveness::Suspected,
        };
        let seen = |(name, heard): (&String, &Heard)| {
            (name.clone(), (heard.member.heartbeat, sight(heard)))
        };
        let known = self.others.iter().map(seen).collect();
        self.liveness.update(known)
    }

    /// How many gateways live, itself included.
    pub fn count_alive(&self, now: Millis) -> usize {
        1 + self.living_others(now).count()
    }

    /// Where callers in `data_centre` connect, the nearest first. Never empty: a gateway that can
    /// name no other names itself, and one that is stopping names others where it can. Callers are given
    /// the first of them and draw one of these; so that all are given alike, each gateway has an order
    /// of its own. By name, 64 of 149 in five data centres were all of the own and all of the first one,
    /// which had four times the requests of most others (by reckoning).
    pub fn for_callers(&self, data_centre: &str, now: Millis) -> Vec<SocketAddr> {
        let ready = |member: &Member| member.readiness == Readiness::Ready;
        let living = self.living_others(now).chain([&self.own]);
        let mut found: Vec<&Member> = living.filter(|member| ready(member)).collect();
        let own_order = hash::of(&self.own.name);
        found.sort_by_cached_key(|member| {
            (member.data_centre != data_centre, hash::score(own_order, &member.name))
        });
        if found.is_empty() {
            found.push(&self.own);
        }
        found.into_iter().map(|member| member.callers_at).collect()
    }

    /// Whether this gateway is the one that shall lead expert maps, as far as it has heard. Whoever
    /// leads goes on until it stops or is silent: each new leader has to learn the groups and their
    /// demand anew. Of several the one with the highest token stays; while there is none, it is the
    /// first of those whom the store answers, in the order of [`Members::count_preferred_leaders`].
    pub fn should_lead(&self, now: Millis) -> bool {
        let living = self.living_others(now);
        let ready = living.filter(|member| member.readiness == Readiness::Ready);
        let highest =
            ready.clone().map(|member| member.leader_fencing_token).max().unwrap_or_default();
        if self.leader_fencing_token > 0 || highest > 0 {
            return self.leader_fencing_token > highest;
        }
        // Whoever cannot reach the store cannot claim the lead.
        self.is_first_able(now)
    }

    /// Whether this gateway is the first of those that live and that the store answers, in the order of
    /// [`Members::count_preferred_leaders`].
    fn is_first_able(&self, now: Millis) -> bool {
        let ready = |member: &&Member| member.readiness == Readiness::Ready && member.store_answers;
        let mut able = self.living_others(now).filter(ready).map(Member::lead_order);
        able.all(|order| order > self.own.lead_order()) && self.own.store_answers
    }

    /// How many gateways go before this one in taking the lead, living or not: those with more memory,
    /// then by name.
    pub fn count_preferred_leaders(&self) -> usize {
        let others = self.others.values().map(|heard| heard.member.lead_order());
        others.filter(|order| *order < self.own.lead_order()).count()
    }

    /// News were exchanged with another gateway.
    pub fn record_exchange(&mut self, now: Millis) {
        self.exchanged_at = Some(now);
    }

    /// Whether this gateway follows the store closely: the first by name of each data centre do, of
    /// those whom the store answers, and whoever hears of no other. The rest hear from them what the
    /// store's answers to themselves lack.
    pub fn follows_closely(&self, now: Millis) -> bool {
        let is_alone =
            self.exchanged_at.is_none_or(|at| now.since(at) >= self.config.isolated_after);
        let goes_before = |member: &&Member| {
            member.data_centre == self.own.data_centre
                && member.readiness == Readiness::Ready
                && member.store_answers
                && member.name < self.own.name
        };
        let before = self.living_others(now).filter(goes_before).count();
        is_alone || before < self.config.close_followers
    }

    /// Where the other gateways that live are told news.
    pub fn alive_peers(&self, now: Millis) -> Vec<SocketAddr> {
        self.living_others(now).map(|member| member.peers_at).collect()
    }

    /// Addresses of the other instances whose gateways live and serve.
    pub fn ready_instances(&self, now: Millis) -> Vec<IpAddr> {
        let ready = self.living_others(now).filter(|member| member.readiness == Readiness::Ready);
        ready.map(|member| member.callers_at.ip()).collect()
    }

    /// How long a lead takes to be known by all: in each round at least as many gateways again hear of
    /// it. Those that were silent count, since whoever has just started has heard of few that live.
    pub fn propagation_time(&self) -> Millis {
        let known = 1 + self.others.len();
        let doublings = u64::from(usize::BITS - known.leading_zeros()) + SPREAD_TAIL;
        Millis(self.config.gossip_interval.0 * doublings.max(LEAST_SPREAD))
    }

    /// Whether this gateway leads, tells of it, and has heard of no higher token: only then it begins
    /// to change a map. One that does not tell may have been replaced, and servers need not check
    /// fencing tokens.
    pub fn may_send_orders(&self, now: Millis) -> bool {
        self.own.leader_fencing_token > 0 && self.should_lead(now)
    }

    /// Another gateway of the own data centre to exchange news with, drawn at random.
    pub fn random_local_peer<R: Rng>(&self, now: Millis, rng: &mut R) -> Option<SocketAddr> {
        let is_near = |member: &&Member| member.data_centre == self.own.data_centre;
        let near: Vec<&Member> = self.living_others(now).filter(is_near).collect();
        (!near.is_empty()).then(|| near[rng.random_range(0..near.len())].peers_at)
    }

    /// Another gateway to exchange news with, drawn at random; now and then one that was silent.
    pub fn random_peer<R: Rng>(&self, now: Millis, rng: &mut R) -> Option<SocketAddr> {
        let silent_too = rng.random_range(0..SILENT_DRAWS) == 0 || self.count_alive(now) == 1;
        let all = self.others.values();
        let open: Vec<&Heard> = all.filter(|heard| silent_too || self.lives(heard, now)).collect();
        if open.is_empty() {
            return None;
        }
        Some(open[rng.random_range(0..open.len())].member.peers_at)
    }

    /// The other gateways that live, by name.
    fn living_others(&self, now: Millis) -> impl Iterator<Item = &Member> + Clone {
        let living = self.others.values().filter(move |heard| self.lives(heard, now));
        living.map(|heard| &heard.member)
    }

    fn word(&self, heard: &Heard, now: Millis) -> Option<MemberRecord> {
        Some(MemberRecord { member: heard.member.clone(), age: self.told_age(heard, now)? })
    }

    /// The age with which a gateway is told of; `None` if it is not. One that is about to be forgotten
    /// is not told of any more: whoever has just forgotten it would learn of it anew.
    fn told_age(&self, heard: &Heard, now: Millis) -> Option<Millis> {
        heard.age(now).filter(|age| *age + self.config.suspect_after < self.config.forget_after)
    }

    /// Whether news of a gateway came lately, and of a time that is not long past: whoever has just
    /// started, was cut off or had forgotten it is told of those that are gone, too. Who lives has news
    /// spread within the time added, so nobody who lives is taken for silent for it.
    fn lives(&self, heard: &Heard, now: Millis) -> bool {
        let oldest = self.config.suspect_after + self.propagation_time();
        let lived_lately = heard.age(now).is_some_and(|age| age < oldest);
        lived_lately && !heard.unreachable && now.since(heard.taken_at) < self.config.suspect_after
    }
}
