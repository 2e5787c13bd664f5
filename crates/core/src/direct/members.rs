//! Which gateways there are, as this one has heard.
//!
//! Each gateway counts a heartbeat up and tells it to a few others, with the newest that it has
//! heard of everyone. A gateway whose heartbeat stands still is not given to callers any more, and
//! is forgotten only much later: after a cut, whoever was on the other side is asked again.
//!
//! Each exchange of news names every gateway, so what it says of one is kept short: a [`Beat`], a
//! number for one life of a gateway and what changes while it lives. Names and addresses go only to
//! whoever lacks them. With 149 gateways a message has 2 kB in place of 22.

mod sightings;

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::HashMap;
use std::collections::HashSet;
use std::net::SocketAddr;

use rand::Rng;
use rand::RngExt;

pub use self::sightings::Sight;
pub use self::sightings::Sighting;
use self::sightings::Sightings;
use crate::clock::Millis;
use crate::util::hash;

/// Whether callers are sent to a gateway.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Readiness {
    /// It has no configuration yet.
    Starting,
    /// It serves.
    Ready,
    /// It is stopping.
    Leaving,
}

/// A gateway as it tells of itself.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Member {
    /// Name of its instance.
    pub name: String,
    /// Rises each time its process starts.
    pub incarnation: u64,
    /// Rises while its process lives.
    pub heartbeat: u64,
    /// Where callers connect.
    pub callers_at: SocketAddr,
    /// Where other gateways connect.
    pub peers_at: SocketAddr,
    /// Its data centre.
    pub data_centre: String,
    /// Memory of its instance; 0 if that is not known.
    pub memory_bytes: u64,
    /// Whether callers are sent there.
    pub readiness: Readiness,
    /// Whether the platform's store answers it.
    pub store_answers: bool,
    /// Fencing token with which it leads expert maps; 0 if it does not.
    pub lead_fence: u64,
}

/// Stands for one life of a gateway: a hash of its name and incarnation, the same at all gateways.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct LifeId(pub u64);

/// What changes of a gateway while it lives.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Beat {
    /// Which life of which gateway.
    pub life: LifeId,
    /// As [`Member::heartbeat`].
    pub heartbeat: u64,
    /// As [`Member::readiness`].
    pub readiness: Readiness,
    /// As [`Member::store_answers`].
    pub store_answers: bool,
    /// As [`Member::lead_fence`].
    pub lead_fence: u64,
}

impl Member {
    /// Names this life.
    pub fn life(&self) -> LifeId {
        LifeId(hash::score(self.incarnation, &self.name))
    }

    /// What changes of it.
    pub fn beat(&self) -> Beat {
        Beat {
            life: self.life(),
            heartbeat: self.heartbeat,
            readiness: self.readiness,
            store_answers: self.store_answers,
            lead_fence: self.lead_fence,
        }
    }

    /// Who goes before whom in taking the lead: those with more memory, then by name. A leader reads and
    /// orders hundreds of ranks, and instances with more memory have the larger links and shares of a
    /// processor: maps of groups of 96 ranks are in force after 0.25 s where its link has 200 Mbit/s, and
    /// after 0.5 to 0.9 s where it has 40.
    fn lead_order(&self) -> (Reverse<u64>, &str) {
        (Reverse(self.memory_bytes), &self.name)
    }

    fn with_beat(&self, beat: &Beat) -> Member {
        Member {
            heartbeat: beat.heartbeat,
            readiness: beat.readiness,
            store_answers: beat.store_answers,
            lead_fence: beat.lead_fence,
            ..self.clone()
        }
    }
}

/// Times of a [`Members`].
#[derive(Clone, Copy, Debug)]
pub struct Config {
    /// Time without a heartbeat after which callers are not sent there.
    pub suspect: Millis,
    /// Time without a heartbeat after which it is not asked again.
    pub forget: Millis,
    /// Gateways of each data centre that follow the store closely.
    pub close_followers: usize,
    /// Time between two exchanges of news by one gateway.
    pub round: Millis,
    /// Time without an exchange of news after which this one follows the store closely, too.
    pub alone: Millis,
}

impl Default for Config {
    /// Heartbeats come each 0.6 s and cross the fleet in two or three rounds; a minute covers the
    /// cuts that the users' deployments list. Three close followers: of nine in three data centres one
    /// is left where half of all machines fail at once, but for once in 500 times. Exchanges are made
    /// each 0.6 s and time out after 0.5 s, so 1.5 s are two that failed.
    fn default() -> Self {
        Config {
            suspect: Millis(3_000),
            forget: Millis(60_000),
            close_followers: 3,
            round: Millis(600),
            alone: Millis(1_500),
        }
    }
}

/// Of so many draws, one takes gateways that were silent, too. A first guess.
const SILENT_DRAWS: u8 = 4;

/// Rounds of news after those in which as many gateways hear as knew before: the last few are drawn by
/// chance.
const SPREAD_TAIL: u64 = 1;

/// Rounds of news that a claim is protected at least, however few gateways its holder has heard of.
const LEAST_SPREAD: u64 = 4;

#[derive(Clone, Debug)]
struct Heard {
    member: Member,
    at: Millis,
}

/// All gateways that this one has heard of, itself included.
#[derive(Clone, Debug)]
pub struct Members {
    config: Config,
    own: Member,
    /// Fencing token with which it leads expert maps, told to others or not; 0 if it does not.
    lead_fence: u64,
    others: BTreeMap<String, Heard>,
    /// Names of the lives of the others.
    lives: HashMap<LifeId, String>,
    /// When news were exchanged last.
    exchanged_at: Option<Millis>,
    sightings: Sightings,
}

impl Members {
    /// A gateway that has heard of none other.
    pub fn new(config: Config, own: Member) -> Members {
        Members {
            config,
            own,
            lead_fence: 0,
            others: BTreeMap::new(),
            lives: HashMap::new(),
            exchanged_at: None,
            sightings: Sightings::default(),
        }
    }

    /// Time between two exchanges of news by one gateway.
    pub fn round(&self) -> Millis {
        self.config.round
    }

    /// This gateway.
    pub fn own(&self) -> &Member {
        &self.own
    }

    /// Counts the own heartbeat up.
    pub fn beat(&mut self) {
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
    pub fn begin_lead(&mut self, fence: u64) {
        self.lead_fence = fence;
        self.own.lead_fence = fence;
    }

    /// Whether others are told of the lead. Where they are not, one of them may take it over; until
    /// then it goes on.
    pub fn tell_lead(&mut self, told: bool) {
        self.own.lead_fence = if told { self.lead_fence } else { 0 };
    }

    /// The lead with this token is over; one that began since goes on.
    pub fn end_lead(&mut self, fence: u64) {
        if self.lead_fence == fence {
            self.lead_fence = 0;
            self.own.lead_fence = 0;
        }
    }

    /// Takes what another gateway tells of any gateway.
    pub fn hear(&mut self, told: &Member, now: Millis) {
        if told.name == self.own.name {
            // Word of another process of this instance: outlive it.
            let known = (self.own.incarnation, self.own.heartbeat);
            if (told.incarnation, told.heartbeat) > known {
                self.own.incarnation = told.incarnation + 1;
            }
            return;
        }
        let known = self.others.get(&told.name);
        if known.is_none_or(|heard| newer(told, &heard.member)) {
            self.insert(Heard { member: told.clone(), at: now });
        }
    }

    fn insert(&mut self, heard: Heard) {
        let (name, life) = (heard.member.name.clone(), heard.member.life());
        let before = self.others.insert(name.clone(), heard);
        if let Some(before) = before.map(|before| before.member.life()).filter(|old| *old != life) {
            self.lives.remove(&before);
        }
        self.lives.insert(life, name);
    }

    /// Takes what another gateway tells of those that it knows, and returns the lives that are not
    /// known here: what they are has to be asked.
    pub fn hear_beats(&mut self, beats: &[Beat], now: Millis) -> Vec<LifeId> {
        let own = self.own.life();
        let mut unknown = Vec::new();
        for beat in beats.iter().filter(|beat| beat.life != own) {
            let known = self.lives.get(&beat.life).and_then(|name| self.others.get_mut(name));
            let Some(heard) = known else {
                unknown.push(beat.life);
                continue;
            };
            let told = heard.member.with_beat(beat);
            if newer(&told, &heard.member) {
                *heard = Heard { member: told, at: now };
            }
        }
        unknown
    }

    /// What is told of all that are known, itself included.
    pub fn beats(&self) -> Vec<Beat> {
        self.known().map(Member::beat).collect()
    }

    /// Those that one who told these beats does not know.
    pub fn lacking(&self, told: &[Beat]) -> Vec<Member> {
        let told: HashSet<LifeId> = told.iter().map(|beat| beat.life).collect();
        self.known().filter(|member| !told.contains(&member.life())).cloned().collect()
    }

    /// Those of the lives that are known.
    pub fn named(&self, lives: &[LifeId]) -> Vec<Member> {
        let known = |life: &LifeId| {
            let other = self.lives.get(life).and_then(|name| self.others.get(name));
            let is_own = *life == self.own.life();
            other.map(|heard| &heard.member).or(is_own.then_some(&self.own)).cloned()
        };
        lives.iter().filter_map(known).collect()
    }

    /// Takes a gateway from the platform's table. That it is listed does not show that it lives: one
    /// that is not known yet is asked, and counts as living once it is heard of.
    pub fn hear_listed(&mut self, listed: &Member, now: Millis) {
        if listed.name != self.own.name && !self.others.contains_key(&listed.name) {
            let at = now - self.config.suspect;
            self.insert(Heard { member: listed.clone(), at });
        }
    }

    /// A gateway could not be reached: callers are not sent there until it is heard of again.
    pub fn unreachable(&mut self, peers_at: SocketAddr, now: Millis) {
        let suspect = self.config.suspect;
        let found = self.others.values_mut().find(|heard| heard.member.peers_at == peers_at);
        if let Some(heard) = found {
            heard.at = heard.at.min(now - suspect);
        }
    }

    /// All that are remembered, itself included.
    pub fn known(&self) -> impl Iterator<Item = &Member> {
        self.others.values().map(|heard| &heard.member).chain([&self.own])
    }

    /// Forgets those that were silent for long.
    pub fn forget(&mut self, now: Millis) {
        let forget = self.config.forget;
        self.others.retain(|_, heard| now.since(heard.at) < forget);
        let others = &self.others;
        self.lives.retain(|_, name| others.contains_key(name));
    }

    /// Which others are seen otherwise than at the look before: they were heard of, fell silent, or
    /// were forgotten.
    pub fn look(&mut self, now: Millis) -> Vec<Sighting> {
        let suspect = self.config.suspect;
        let known = self.others.iter().map(|(name, heard)| {
            let lives = now.since(heard.at) < suspect;
            let sight = if lives { Sight::Living } else { Sight::Silent };
            (name.as_str(), heard.member.heartbeat, sight)
        });
        self.sightings.look(known)
    }

    /// How many gateways live, itself included.
    pub fn living(&self, now: Millis) -> usize {
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
    /// first of those whom the store answers, in the order of [`Members::before`].
    pub fn shall_lead(&self, now: Millis) -> bool {
        let living = self.living_others(now);
        let ready = living.filter(|member| member.readiness == Readiness::Ready);
        let highest = ready.clone().map(|member| member.lead_fence).max().unwrap_or_default();
        if self.lead_fence > 0 || highest > 0 {
            return self.lead_fence > highest;
        }
        // Whoever cannot reach the store cannot claim the lead.
        let able = ready.filter(|member| member.store_answers);
        let first = able.map(Member::lead_order).all(|order| order > self.own.lead_order());
        first && self.own.store_answers
    }

    /// How many gateways go before this one in taking the lead, living or not: those with more memory,
    /// then by name.
    pub fn before(&self) -> usize {
        let others = self.others.values().map(|heard| heard.member.lead_order());
        others.filter(|order| *order < self.own.lead_order()).count()
    }

    /// News were exchanged with another gateway.
    pub fn exchanged(&mut self, now: Millis) {
        self.exchanged_at = Some(now);
    }

    /// Whether this gateway follows the store closely: the first by name of each data centre do, of
    /// those whom the store answers, and whoever hears of no other. The rest hear from them what the
    /// store's answers to themselves lack.
    pub fn follows_closely(&self, now: Millis) -> bool {
        let is_alone = self.exchanged_at.is_none_or(|at| now.since(at) >= self.config.alone);
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
    pub fn living_peers(&self, now: Millis) -> Vec<SocketAddr> {
        self.living_others(now).map(|member| member.peers_at).collect()
    }

    /// How long a lead takes to be known by all: in each round at least as many gateways again hear of
    /// it. Those that were silent count, since whoever has just started has heard of few that live.
    pub fn spread_time(&self) -> Millis {
        let known = 1 + self.others.len();
        let doublings = u64::from(usize::BITS - known.leading_zeros()) + SPREAD_TAIL;
        Millis(self.config.round.0 * doublings.max(LEAST_SPREAD))
    }

    /// Whether this gateway leads, tells of it, and has heard of no higher token: only then it begins
    /// to change a map. One that does not tell may have been replaced, and servers need not check
    /// fencing tokens.
    pub fn may_order(&self, now: Millis) -> bool {
        self.own.lead_fence > 0 && self.shall_lead(now)
    }

    /// Another gateway of the own data centre to exchange news with, drawn at random.
    pub fn draw_near<R: Rng>(&self, now: Millis, rng: &mut R) -> Option<SocketAddr> {
        let is_near = |member: &&Member| member.data_centre == self.own.data_centre;
        let near: Vec<&Member> = self.living_others(now).filter(is_near).collect();
        (!near.is_empty()).then(|| near[rng.random_range(0..near.len())].peers_at)
    }

    /// Another gateway to exchange news with, drawn at random; now and then one that was silent.
    pub fn draw<R: Rng>(&self, now: Millis, rng: &mut R) -> Option<SocketAddr> {
        let silent_too = rng.random_range(0..SILENT_DRAWS) == 0 || self.living(now) == 1;
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

    fn lives(&self, heard: &Heard, now: Millis) -> bool {
        now.since(heard.at) < self.config.suspect
    }
}

fn newer(told: &Member, known: &Member) -> bool {
    (told.incarnation, told.heartbeat, told.readiness)
        > (known.incarnation, known.heartbeat, known.readiness)
}
