//! Model of one group: ranks in lock-step, leaders, and a network with arbitrary delivery.
//!
//! Each message may arrive late, out of order, or never. Leaders may resend their orders at any
//! time, so a message may arrive twice. A leader that crashes between two messages is one that is
//! not scheduled again, and one that was suspended is one that is scheduled late. So all crash
//! points are among the paths.
#![allow(dead_code, reason = "each test program uses a part")]

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashSet;
use std::hash::DefaultHasher;
use std::hash::Hash;
use std::hash::Hasher;

use hooktrestle_core::map_switch::Ballot;
use hooktrestle_core::map_switch::Gate;
use hooktrestle_core::map_switch::Leader;
use hooktrestle_core::map_switch::MapId;
use hooktrestle_core::map_switch::Order;
use hooktrestle_core::map_switch::OrderAction;
use hooktrestle_core::map_switch::OrderKind;
use hooktrestle_core::map_switch::Progress;
use hooktrestle_core::map_switch::Rank;
use hooktrestle_core::map_switch::Reply;

/// A message on the network.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Message {
    Order { rank: usize, order: Order },
    Reply { leader: Ballot, rank: usize, reply: Reply },
}

/// An event in the model.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Action {
    Deliver(Message),
    /// An order arrives, and the reply to it is lost.
    DeliverAndLose(Message),
    Propose(usize),
    AbortStaging(usize),
    Retransmit(usize),
    Loaded {
        rank: usize,
        succeeded: bool,
    },
    Step(usize),
    Restart(usize),
    RestoreFence(usize),
    NewLease,
    LeadWithoutStore(usize),
}

/// Parameters of the group, and limits of the numbers of events.
#[derive(Clone, Copy, Debug)]
pub struct Setup {
    pub ranks: usize,
    pub horizon: u64,
    pub last_step: u64,
    pub leases: u64,
    pub proposals: usize,
    pub restarts: usize,
    /// Number of times that leaders resend orders without a reply.
    pub retransmissions: usize,
    /// Whether replies are delayed on the network. Otherwise each arrives at once or never, which
    /// reduces the number of states. A delayed reply delays the leader's orders, and orders may be
    /// delayed in any case.
    pub late_replies: bool,
    /// Whether the backend servers keep the fence across a restart of their sidecar.
    pub keeps_fence: bool,
    /// Number of times that ranks may lead without the store.
    pub storeless_terms: usize,
    /// Injected flaw, which shows that the check can fail.
    pub flaw: Flaw,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Flaw {
    Nothing,
    /// A restarted sidecar considers the first ballot that it receives as the highest.
    GuessesFence,
    /// A rank does not wait for the outcome.
    IgnoresHold,
    /// A switch is committed as soon as one rank has staged the map.
    PushesRankByRank,
}

#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct World {
    pub ranks: Vec<Rank>,
    pub loading: Vec<Option<MapId>>,
    pub leaders: Vec<Leader>,
    max_granted: u64,
    messages: Vec<Message>,
    used: BTreeMap<u64, MapId>,
    proposals_left: usize,
    restarts_left: usize,
    retransmissions_left: usize,
    storeless_terms_left: usize,
}

/// A step in which two ranks used different maps.
#[derive(Clone, Debug)]
pub struct Split {
    pub step: u64,
    pub maps: [MapId; 2],
}

impl World {
    pub fn new(setup: &Setup) -> World {
        World {
            ranks: vec![Rank::new(MapId::default()); setup.ranks],
            loading: vec![None; setup.ranks],
            leaders: Vec::new(),
            max_granted: 0,
            messages: Vec::new(),
            used: BTreeMap::new(),
            proposals_left: setup.proposals,
            restarts_left: setup.restarts,
            retransmissions_left: setup.retransmissions,
            storeless_terms_left: setup.storeless_terms,
        }
    }

    /// All events that are possible next.
    pub fn actions(&self, setup: &Setup) -> Vec<Action> {
        let mut actions: Vec<Action> =
            self.messages.iter().map(|message| Action::Deliver(*message)).collect();
        if !setup.late_replies {
            let lossy = self.messages.iter().map(|message| Action::DeliverAndLose(*message));
            actions.extend(lossy);
        }
        for (index, leader) in self.leaders.iter().enumerate() {
            if matches!(leader.progress(), Progress::Settled(_)) && self.proposals_left > 0 {
                actions.push(Action::Propose(index));
            }
            if leader.is_staging() {
                actions.push(Action::AbortStaging(index));
            }
            if leader.progress() == Progress::Waiting && self.retransmissions_left > 0 {
                actions.push(Action::Retransmit(index));
            }
        }
        let slowest = self.ranks.iter().map(|rank| rank.state().step).min().unwrap_or(0);
        for (index, rank) in self.ranks.iter().enumerate() {
            let step = rank.state().step;
            let held = rank.gate() == Gate::Hold && setup.flaw != Flaw::IgnoresHold;
            if step == slowest && step < setup.last_step && !held {
                actions.push(Action::Step(index));
            }
            if self.loading[index].is_some() {
                actions.push(Action::Loaded { rank: index, succeeded: true });
                actions.push(Action::Loaded { rank: index, succeeded: false });
            }
            if self.restarts_left > 0 {
                actions.push(Action::Restart(index));
            }
            if rank.promised().is_none() {
                actions.push(Action::RestoreFence(index));
            }
            if self.storeless_terms_left > 0 && setup.keeps_fence {
                actions.push(Action::LeadWithoutStore(index));
            }
        }
        if self.max_granted < setup.leases {
            actions.push(Action::NewLease);
        }
        actions
    }

    /// Applies one event.
    pub fn apply(&mut self, setup: &Setup, action: Action) -> Result<(), Split> {
        if let Action::Deliver(message) | Action::DeliverAndLose(message) = action
            && let Some(place) = self.messages.iter().position(|other| *other == message)
        {
            self.messages.swap_remove(place);
        }
        match action {
            Action::Deliver(Message::Order { rank, order }) => {
                if let Some(reply) = self.deliver_order(rank, order) {
                    self.send_reply(setup, order.ballot, rank, reply);
                }
            }
            Action::DeliverAndLose(Message::Order { rank, order }) => {
                self.deliver_order(rank, order);
            }
            Action::DeliverAndLose(Message::Reply { .. }) => {}
            Action::Deliver(Message::Reply { leader, rank, reply }) => {
                self.deliver_reply(setup, leader, rank, reply);
            }
            Action::Propose(index) => {
                self.proposals_left -= 1;
                self.leaders[index].propose(setup.horizon);
                self.post_orders(index);
            }
            Action::AbortStaging(index) => {
                self.leaders[index].abort_staging();
                self.post_orders(index);
            }
            Action::Retransmit(index) => {
                self.retransmissions_left -= 1;
                self.post_orders(index);
            }
            Action::Loaded { rank, succeeded } => {
                if let Some(map) = self.loading[rank].take()
                    && let Some(reply) = self.ranks[rank].loaded(map, succeeded)
                {
                    self.send_reply(setup, map.ballot, rank, reply);
                }
            }
            Action::Step(rank) => return self.step(setup, rank),
            Action::Restart(rank) => self.restart(setup, rank),
            Action::RestoreFence(rank) => {
                let number = match setup.flaw {
                    Flaw::GuessesFence => 0,
                    _ => self.max_granted,
                };
                self.ranks[rank].restore_fence(Ballot { number, proposer: 0 });
            }
            Action::NewLease => {
                self.max_granted += 1;
                self.add_leader(Ballot { number: self.max_granted, proposer: 0 });
            }
            Action::LeadWithoutStore(rank) => {
                self.storeless_terms_left -= 1;
                let promised = self.ranks[rank].promised().unwrap_or_default();
                let proposer = rank as u32 + 1;
                self.add_leader(Ballot { number: promised.number + 1, proposer });
            }
        }
        Ok(())
    }

    fn add_leader(&mut self, ballot: Ballot) {
        self.leaders.push(Leader::new(ballot, self.ranks.len()));
        self.post_orders(self.leaders.len() - 1);
    }

    fn deliver_order(&mut self, rank: usize, order: Order) -> Option<Reply> {
        match self.ranks[rank].order(order) {
            OrderAction::Answer(reply) => Some(reply),
            OrderAction::Load(map) => {
                self.loading[rank] = Some(map);
                None
            }
            OrderAction::Silent => None,
        }
    }

    fn send_reply(&mut self, setup: &Setup, leader: Ballot, rank: usize, reply: Reply) {
        if setup.late_replies {
            self.post(Message::Reply { leader, rank, reply });
        } else if !matches!(reply, Reply::Outdated(_)) {
            self.deliver_reply(setup, leader, rank, reply);
        }
    }

    fn deliver_reply(&mut self, setup: &Setup, leader: Ballot, rank: usize, reply: Reply) {
        let Some(index) = self.leaders.iter().position(|each| each.ballot() == leader) else {
            return;
        };
        let before = self.leaders[index].clone();
        self.leaders[index].reply(rank, reply);
        if setup.flaw == Flaw::PushesRankByRank
            && let Reply::Staged(map) = reply
        {
            for other in 0..self.ranks.len() {
                self.leaders[index].reply(other, Reply::Staged(map));
            }
        }
        if self.leaders[index].phase_number() != before.phase_number() {
            self.post_orders(index);
        }
    }

    fn step(&mut self, setup: &Setup, rank: usize) -> Result<(), Split> {
        let step = self.ranks[rank].state().step;
        let ignores = setup.flaw == Flaw::IgnoresHold;
        if ignores && self.ranks[rank].gate() == Gate::Hold {
            let map = self.ranks[rank].state().armed.expect("held").map;
            let ballot = self.ranks[rank].promised().unwrap_or_default();
            self.ranks[rank].order(Order { ballot, kind: OrderKind::Abort { map } });
        }
        let map = self.ranks[rank].begin_step();
        let used = *self.used.entry(step).or_insert(map);
        if used == map { Ok(()) } else { Err(Split { step, maps: [used, map] }) }
    }

    fn restart(&mut self, setup: &Setup, rank: usize) {
        self.restarts_left -= 1;
        self.loading[rank] = None;
        if setup.keeps_fence {
            let promised = self.ranks[rank].promised().unwrap_or_default();
            self.ranks[rank].lose_fence();
            self.ranks[rank].restore_fence(promised);
        } else {
            self.ranks[rank].lose_fence();
        }
    }

    fn post_orders(&mut self, index: usize) {
        let mut orders = Vec::new();
        self.leaders[index].send(|rank, order| orders.push(Message::Order { rank, order }));
        for order in orders {
            self.post(order);
        }
    }

    fn post(&mut self, message: Message) {
        // A leader that receives `Outdated` stops, like one that is not scheduled again.
        let outdated = matches!(message, Message::Reply { reply: Reply::Outdated(_), .. });
        if !outdated && !self.messages.contains(&message) {
            self.messages.push(message);
        }
    }

    /// Whether a new leader that reaches all ranks settles on one map, and all ranks may run steps.
    pub fn recovers(&self, setup: &Setup) -> bool {
        let mut world = self.clone();
        world.messages.clear();
        world.max_granted += 10;
        for rank in 0..world.ranks.len() {
            let fence = Ballot { number: world.max_granted, proposer: 0 };
            world.ranks[rank].restore_fence(fence);
        }
        world.add_leader(Ballot { number: world.max_granted, proposer: 0 });
        let last = world.leaders.len() - 1;
        while let Some(message) = (!world.messages.is_empty()).then(|| world.messages.remove(0)) {
            if world.apply(setup, Action::Deliver(message)).is_err() {
                return false;
            }
        }
        let settled = matches!(world.leaders[last].progress(), Progress::Settled(_));
        let running = world.ranks.iter().all(|rank| rank.gate() != Gate::Hold);
        settled && running
    }
}

/// Result of a walk over all states.
#[derive(Debug)]
pub struct Walk {
    pub states: usize,
    pub split: Option<(Split, Vec<Action>)>,
    pub stuck: Option<Vec<Action>>,
    pub switched: bool,
}

/// Visits all reachable states, or stops at the first fault and returns the path to it.
pub fn walk(setup: &Setup) -> Walk {
    let mut seen: HashSet<u64> = HashSet::new();
    let mut parents: Vec<(usize, Option<Action>)> = vec![(0, None)];
    let mut stack: Vec<(usize, World)> = vec![(0, World::new(setup))];
    let mut switched = false;
    seen.insert(digest(&stack[0].1));
    while let Some((index, world)) = stack.pop() {
        for action in world.actions(setup) {
            let mut next = world.clone();
            let split = next.apply(setup, action);
            if let Err(split) = split {
                let path = path(&parents, index, action);
                return Walk {
                    states: seen.len(),
                    split: Some((split, path)),
                    stuck: None,
                    switched,
                };
            }
            if !seen.insert(digest(&next)) {
                continue;
            }
            switched |= next.ranks.iter().all(|rank| rank.state().current.version > 0);
            if setup.flaw == Flaw::Nothing && !next.recovers(setup) {
                let path = path(&parents, index, action);
                return Walk { states: seen.len(), split: None, stuck: Some(path), switched };
            }
            parents.push((index, Some(action)));
            stack.push((parents.len() - 1, next));
        }
    }
    Walk { states: seen.len(), split: None, stuck: None, switched }
}

fn digest(world: &World) -> u64 {
    let mut world = world.clone();
    let mut hashes = BTreeSet::new();
    for message in world.messages.drain(..) {
        let mut hasher = DefaultHasher::new();
        message.hash(&mut hasher);
        hashes.insert(hasher.finish());
    }
    let mut hasher = DefaultHasher::new();
    world.hash(&mut hasher);
    hashes.hash(&mut hasher);
    hasher.finish()
}

fn path(parents: &[(usize, Option<Action>)], from: usize, last: Action) -> Vec<Action> {
    let mut path = vec![last];
    let mut index = from;
    while let (parent, Some(action)) = parents[index] {
        path.push(action);
        index = parent;
    }
    path.reverse();
    path
}
