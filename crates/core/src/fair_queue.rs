//! Weighted fair queue of client accounts at one backend server: decides which request is next.
//! Input: requests with account, weight, cost and priority.
//! State: the waiting requests of each account, and its virtual time.
//!
//! The algorithm is start-time fair queueing. Each account has a virtual time that advances by cost
//! over weight with each of its requests, and the account with the smallest virtual time is served
//! next. An account that was idle starts at the queue's own virtual time, so it neither waits
//! behind the backlog of other accounts nor accumulates credit. This algorithm is preferred to
//! deficit round robin because a newly active account is served next, independently of the backlog
//! of the others. Worst case: O(log accounts) per request.
//!
//! Within an account, priority counts as an earlier arrival ([`PRIORITY_HEAD_START`] per level), so
//! a request of low priority waits longer but does not starve.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;

use crate::clock::Millis;

/// Time by which the arrival of a request is moved forward per priority level.
pub const PRIORITY_HEAD_START: Millis = Millis(1_000);

/// Highest priority; an offset of its head start keeps the adjusted arrival from underflowing.
const MAX_PRIORITY: u64 = 9;

/// Advance of the virtual time per token at weight 1.
const VIRTUAL_SCALE: u64 = 1 << 16;

/// Identifier of an account in the queue: the hash of its name.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct FlowId(pub u64);

/// A request in the queue.
#[derive(Clone, Copy, Debug)]
pub struct Entry<K> {
    /// Identifier that the caller of the queue has for it.
    pub key: K,
    /// Account that it is charged to.
    pub flow: FlowId,
    /// Weight of the account.
    pub weight: u32,
    /// Estimated tokens.
    pub cost_tokens: u32,
    /// 0 to 9; a higher priority goes first.
    pub priority: u8,
    /// Time of its arrival.
    pub arrived: Millis,
}

#[derive(Debug)]
struct Flow<K> {
    /// Virtual start time of the flow's next request.
    start: u64,
    /// Counter value when the flow was last served; among equal start times, the flow that was
    /// served longest ago goes first.
    served: u64,
    waiting: BTreeMap<(u64, u64), Entry<K>>,
}

/// The queue of waiting requests.
#[derive(Debug)]
pub struct FairQueue<K> {
    virtual_now: u64,
    counter: u64,
    flows: HashMap<FlowId, Flow<K>>,
    heads: BTreeSet<(u64, u64, FlowId)>,
    places: HashMap<K, (FlowId, (u64, u64))>,
}

impl<K: Copy + Eq + std::hash::Hash> Default for FairQueue<K> {
    fn default() -> Self {
        FairQueue {
            virtual_now: 0,
            counter: 0,
            flows: HashMap::new(),
            heads: BTreeSet::new(),
            places: HashMap::new(),
        }
    }
}

impl<K: Copy + Eq + std::hash::Hash> FairQueue<K> {
    /// Number of waiting requests.
    pub fn len(&self) -> usize {
        self.places.len()
    }

    /// Whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.places.is_empty()
    }

    /// Adds a request.
    pub fn push(&mut self, entry: Entry<K>) {
        self.counter += 1;
        let head_start = u64::from(entry.priority) * PRIORITY_HEAD_START.0;
        let offset = MAX_PRIORITY * PRIORITY_HEAD_START.0;
        let place = (entry.arrived.0 + offset - head_start.min(offset), self.counter);
        let virtual_now = self.virtual_now;
        let flow = self.flows.entry(entry.flow).or_insert_with(|| Flow {
            start: virtual_now,
            served: 0,
            waiting: BTreeMap::new(),
        });
        if flow.waiting.is_empty() {
            flow.start = flow.start.max(virtual_now);
            self.heads.insert((flow.start, flow.served, entry.flow));
        }
        flow.waiting.insert(place, entry);
        self.places.insert(entry.key, (entry.flow, place));
    }

    /// Removes and returns the next request: one of the account with the smallest virtual time.
    pub fn pop(&mut self) -> Option<Entry<K>> {
        let (start, _, id) = self.heads.pop_first()?;
        self.virtual_now = start;
        self.counter += 1;
        let flow = self.flows.get_mut(&id).expect("a head has a flow");
        let (_, entry) = flow.waiting.pop_first().expect("a head has a request");
        self.places.remove(&entry.key);
        flow.start = start.saturating_add(virtual_cost(&entry));
        flow.served = self.counter;
        if !flow.waiting.is_empty() {
            self.heads.insert((flow.start, flow.served, id));
        }
        self.evict_idle();
        Some(entry)
    }

    /// Removes one request from any position of the queue.
    pub fn remove(&mut self, key: K) -> Option<Entry<K>> {
        let (id, place) = self.places.remove(&key)?;
        let flow = self.flows.get_mut(&id).expect("a place has a flow");
        let entry = flow.waiting.remove(&place);
        if flow.waiting.is_empty() {
            self.heads.remove(&(flow.start, flow.served, id));
        }
        entry
    }

    /// All waiting requests, in no particular order.
    pub fn iter(&self) -> impl Iterator<Item = &Entry<K>> {
        self.flows.values().flat_map(|flow| flow.waiting.values())
    }

    /// Evicts idle accounts whose virtual time the queue has reached, so that memory is bounded by
    /// the accounts in use. Runs when there are more than twice as many accounts as busy ones, so
    /// that the amortized cost per request is constant.
    fn evict_idle(&mut self) {
        if self.flows.len() > 2 * self.heads.len() + 16 {
            let virtual_now = self.virtual_now;
            self.flows.retain(|_, flow| !flow.waiting.is_empty() || flow.start > virtual_now);
        }
    }
}

fn virtual_cost<K>(entry: &Entry<K>) -> u64 {
    u64::from(entry.cost_tokens.max(1)) * VIRTUAL_SCALE / u64::from(entry.weight.max(1))
}
