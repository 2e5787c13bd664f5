//! A model of one group: ranks in lock-step, leaders, and a network that may do anything.
//!
//! Each message may arrive late, out of order, or never, and leaders repeat theirs at any time, so
//! it may arrive twice. A leader that dies between two messages is one that is never scheduled again, and one
//! that was paused is one that is scheduled late; so every crash point is among the paths.
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

/// What may happen.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Action {
    Deliver(Message),
    /// An order arrives, and the answer to it is lost.
    DeliverAndLose(Message),
    Propose(usize),
    GiveUp(usize),
    Repeat(usize),
    Loaded {
        rank: usize,
        succeeded: bool,
    },
    Step(usize),
    Restart(usize),
    Learn(usize),
    NewLease,
    LeadWithoutStore(usize),
}

/// How the group is set up, and how much may happen.
#[derive(Clone, Copy, Debug)]
pub struct Setup {
    pub ranks: usize,
    pub horizon: u64,
    pub last_step: u64,
    pub leases: u64,
    pub proposals: usize,
    pub restarts: usize,
    /// How often leaders repeat what is not answered.
    pub repeats: usize,
    /// Whether replies wait on the network. Else each arrives at once or never, which leaves far
    /// fewer states to walk: a leader that hears later acts later, and its orders may be late anyway.
    pub late_replies: bool,
    /// Whether the backend servers keep the fence over a restart of their sidecar.
    pub keeps_fence: bool,
    /// Whether ranks may lead when the store is down.
    pub storeless: usize,
    /// What is broken on purpose, to see that the check can fail.
    pub broken: Broken,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Broken {
    Nothing,
    /// A restarted sidecar takes the first ballot it hears for the highest.
    GuessesFence,
    /// A rank does not wait for the outcome.
    IgnoresHold,
    /// A switch is pushed rank by rank: committed as soon as one has staged.
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
    repeats_left: usize,
    storeless_left: usize,
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
            repeats_left: setup.repeats,
            storeless_left: setup.storeless,
        }
    }

    /// Everything that may happen next.
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
                actions.push(Action::GiveUp(index));
            }
            if leader.progress() == Progress::Waiting && self.repeats_left > 0 {
                actions.push(Action::Repeat(index));
            }
        }
        let slowest = self.ranks.iter().map(|rank| rank.state().step).min().unwrap_or(0);
        for (index, rank) in self.ranks.iter().enumerate() {
            let step = rank.state().step;
            let held = rank.gate() == Gate::Hold && setup.broken != Broken::IgnoresHold;
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
                actions.push(Action::Learn(index));
            }
            if self.storeless_left > 0 && setup.keeps_fence {
                actions.push(Action::LeadWithoutStore(index));
            }
        }
        if self.max_granted < setup.leases {
            actions.push(Action::NewLease);
        }
        actions
    }

    /// Lets one thing happen.
    pub fn apply(&mut self, setup: &Setup, action: Action) -> Result<(), Split> {
        if let Action::Deliver(message) | Action::DeliverAndLose(message) = action
            && let Some(place) = self.messages.iter().position(|other| *other == message)
        {
            self.messages.swap_remove(place);
        }
        match action {
            Action::Deliver(Message::Order { rank, order }) => {
                if let Some(reply) = self.deliver_order(rank, order) {
                    self.answer(setup, order.ballot, rank, reply);
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
            Action::GiveUp(index) => {
                self.leaders[index].abort_staging();
                self.post_orders(index);
            }
            Action::Repeat(index) => {
                self.repeats_left -= 1;
                self.post_orders(index);
            }
            Action::Loaded { rank, succeeded } => {
                if let Some(map) = self.loading[rank].take()
                    && let Some(reply) = self.ranks[rank].loaded(map, succeeded)
                {
                    self.answer(setup, map.ballot, rank, reply);
                }
            }
            Action::Step(rank) => return self.step(setup, rank),
            Action::Restart(rank) => self.restart(setup, rank),
            Action::Learn(rank) => {
                let number = match setup.broken {
                    Broken::GuessesFence => 0,
                    _ => self.max_granted,
                };
                self.ranks[rank].restore_fence(Ballot { number, proposer: 0 });
            }
            Action::NewLease => {
                self.max_granted += 1;
                self.lead(Ballot { number: self.max_granted, proposer: 0 });
            }
            Action::LeadWithoutStore(rank) => {
                self.storeless_left -= 1;
                let promised = self.ranks[rank].promised().unwrap_or_default();
                let proposer = rank as u32 + 1;
                self.lead(Ballot { number: promised.number + 1, proposer });
            }
        }
        Ok(())
    }

    fn lead(&mut self, ballot: Ballot) {
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

    fn answer(&mut self, setup: &Setup, leader: Ballot, rank: usize, reply: Reply) {
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
        if setup.broken == Broken::PushesRankByRank
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
        let ignores = setup.broken == Broken::IgnoresHold;
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
        // A leader that hears that it is outdated stops, as one does that is never scheduled again.
        let outdated = matches!(message, Message::Reply { reply: Reply::Outdated(_), .. });
        if !outdated && !self.messages.contains(&message) {
            self.messages.push(message);
        }
    }

    /// Whether a new leader, with everybody reachable, gets the group stepping again, all ranks on
    /// one map.
    pub fn recovers(&self, setup: &Setup) -> bool {
        let mut world = self.clone();
        world.messages.clear();
        world.max_granted += 10;
        for rank in 0..world.ranks.len() {
            let fence = Ballot { number: world.max_granted, proposer: 0 };
            world.ranks[rank].restore_fence(fence);
        }
        world.lead(Ballot { number: world.max_granted, proposer: 0 });
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

/// What a walk over all states came to.
#[derive(Debug)]
pub struct Walk {
    pub states: usize,
    pub split: Option<(Split, Vec<Action>)>,
    pub stuck: Option<Vec<Action>>,
    pub switched: bool,
}

/// Visits every state that can be reached, or stops at the first fault; paths come with it.
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
            if setup.broken == Broken::Nothing && !next.recovers(setup) {
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
