//! Weighted fair queueing between client accounts at one backend server.
//!
//! Start-time fair queueing: each account has a virtual time that advances by cost over weight
//! with each of its requests, and the account furthest behind goes first. An account that was
//! idle starts at the queue's own virtual time, so it neither waits behind others' backlog nor
//! saves up a claim. Chosen over deficit round robin because a newly active account is then
//! served next, whatever the others' backlog. Worst case: O(log accounts) a request.
//!
//! Within an account, priority counts as an earlier arrival ([`PRIORITY_HEAD_START`] a level), so
//! a low priority waits longer but never for ever.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;

use crate::clock::Millis;

/// How much earlier than it did a request counts as having arrived, for each priority level.
pub const PRIORITY_HEAD_START: Millis = Millis(1_000);

/// Offset that keeps the head start of early arrivals from going below zero.
const HIGHEST_PRIORITY: u64 = 9;

/// Virtual time advances by this much for each token at weight 1.
const VIRTUAL_SCALE: u64 = 1 << 16;

/// One account's place in the queue, as its hash.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct FlowId(pub u64);

/// What the queue has to know of a request.
#[derive(Clone, Copy, Debug)]
pub struct Entry<K> {
    /// The caller's name for it.
    pub key: K,
    /// Account that it counts for.
    pub flow: FlowId,
    /// The account's share.
    pub weight: u32,
    /// Estimated tokens.
    pub cost_tokens: u32,
    /// 0 to 9; the higher goes first.
    pub priority: u8,
    /// When it arrived.
    pub arrived: Millis,
}

#[derive(Debug)]
struct Flow<K> {
    /// Virtual time at which the flow's next request may start.
    start: u64,
    /// When the flow was last served; settles ties in favour of who waits longest.
    served: u64,
    waiting: BTreeMap<(u64, u64), Entry<K>>,
}

/// Requests that wait, in the order of fairness.
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
    /// How many requests wait.
    pub fn len(&self) -> usize {
        self.places.len()
    }

    /// Whether none waits.
    pub fn is_empty(&self) -> bool {
        self.places.is_empty()
    }

    /// Adds a request.
    pub fn push(&mut self, entry: Entry<K>) {
        self.counter += 1;
        let head_start = u64::from(entry.priority) * PRIORITY_HEAD_START.0;
        let offset = HIGHEST_PRIORITY * PRIORITY_HEAD_START.0;
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

    /// Takes the request whose account is furthest behind its share.
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
        self.forget_idle();
        Some(entry)
    }

    /// Takes one request out, wherever it stands.
    pub fn remove(&mut self, key: K) -> Option<Entry<K>> {
        let (id, place) = self.places.remove(&key)?;
        let flow = self.flows.get_mut(&id).expect("a place has a flow");
        let entry = flow.waiting.remove(&place);
        if flow.waiting.is_empty() {
            self.heads.remove(&(flow.start, flow.served, id));
        }
        entry
    }

    /// All requests that wait, in no order.
    pub fn iter(&self) -> impl Iterator<Item = &Entry<K>> {
        self.flows.values().flat_map(|flow| flow.waiting.values())
    }

    /// Drops accounts that are idle and whose debt is paid, so that memory follows the accounts
    /// in use. Swept when idle ones outnumber busy ones, so the cost a request stays constant.
    fn forget_idle(&mut self) {
        if self.flows.len() > 2 * self.heads.len() + 16 {
            let virtual_now = self.virtual_now;
            self.flows.retain(|_, flow| !flow.waiting.is_empty() || flow.start > virtual_now);
        }
    }
}

fn virtual_cost<K>(entry: &Entry<K>) -> u64 {
    u64::from(entry.cost_tokens.max(1)) * VIRTUAL_SCALE / u64::from(entry.weight.max(1))
}
