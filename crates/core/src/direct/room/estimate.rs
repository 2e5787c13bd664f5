//! How many streams the servers of a service carry within the objective.
//! Input: slots of the servers, passes of the groups, means of streams. There is no state.
//! Decides the room of each group and of the service.
//!
//! A server carries as many streams as it has slots, and a group as many as its passes bear. Passes
//! that are too long with few streams, or while a rank is slow, have another cause than the number
//! of streams. Such a group gets fewer requests than the others; but if all groups are like that,
//! fewer streams would be late all the same, so the room of the service stays.

use super::GroupState;
use super::groups::GroupPasses;
use crate::direct::advertised_limit::Rate;

/// Lower bound of the fraction of a group's slots that it carries while it runs passes.
const MIN_FRACTION: f64 = 0.2;

/// Fraction of a group's slots that must be occupied for long passes to be caused by the number of
/// streams.
const MIN_BUSY_FRACTION: f64 = 0.5;

/// Deviation of the number of streams at a server that slots are kept free for, relative to the
/// square root of its slots.
const SPREAD: f64 = 0.5;

/// Lower bound of the fraction of a server's slots that are used.
const MIN_USED_FRACTION: f64 = 0.5;

/// Fraction of the time left until the first event is due for which a stream may queue.
const QUEUE_FRACTION: f64 = 0.5;

/// The objectives for the streams of a service, and the shortest pass of its engines.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct StreamObjective {
    /// Longest time to the first event.
    pub first_ms: f64,
    /// Longest pause between events.
    pub pause_ms: f64,
    /// Length of a pass with almost no load.
    pub min_pass_ms: f64,
}

/// Means over the streams of all gateways; 0 if unknown.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct StreamMeans {
    /// Mean duration of a stream.
    pub stream_ms: f64,
    /// Mean time to the first event.
    pub first_ms: f64,
}

/// Slots of an open server, and the rate at which it gets requests while it warms up.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct OpenSlots {
    /// Number of its slots.
    pub slots: u32,
    /// Requests that it gets from all gateways together, while it warms up.
    pub warm_up_rate: Option<Rate>,
}

impl OpenSlots {
    /// Number of streams that the server carries: while it warms up, those that begin within the
    /// duration of a stream.
    pub fn streams(&self, means: StreamMeans) -> f64 {
        let slots = f64::from(self.slots);
        let Some(rate) = self.warm_up_rate.filter(|_| means.stream_ms > 0.0) else { return slots };
        slots.min(rate.in_1000_s as f64 / 1_000.0 * means.stream_ms / 1_000.0)
    }

    /// Number of streams on average at which a new one usually finds a free slot. Gateways choose
    /// without knowing what the others choose, so the number at a server deviates from the mean by
    /// about its square root.
    pub fn streams_without_queue(&self, means: StreamMeans) -> f64 {
        let slots = f64::from(self.slots);
        let mean = (slots - SPREAD * slots.sqrt()).max(MIN_USED_FRACTION * slots);
        self.streams(means).min(mean)
    }
}

/// The room of one group.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct GroupRoom {
    /// State to report to all gateways.
    pub state: GroupState,
    /// Streams that it carries.
    pub streams: f64,
    /// Streams that its open servers have slots for.
    pub slots: f64,
    /// Streams on average at which a new one usually finds a free slot.
    pub without_queue: f64,
    /// Whether passes are too long for another cause than the number of streams.
    pub is_hampered: bool,
}

/// The room of a group with these slots.
pub fn group_room(
    passes: &GroupPasses,
    (slots, without_queue): (f64, f64),
    objective: &StreamObjective,
) -> GroupRoom {
    let pass_ms = passes.length_ms();
    if !passes.is_open(objective.pause_ms) {
        let state = GroupState { is_open: false, pass_ms, room: 0 };
        return GroupRoom {
            state,
            streams: 0.0,
            slots: 0.0,
            without_queue: 0.0,
            is_hampered: false,
        };
    }
    let available_ms = (objective.pause_ms - objective.min_pass_ms).max(0.0);
    let added_ms = pass_ms - objective.min_pass_ms;
    let is_crowded = passes.mean_streams() >= MIN_BUSY_FRACTION * slots;
    let is_hampered = pass_ms > objective.pause_ms && (passes.has_slow_rank() || !is_crowded);
    let carried = if added_ms <= 0.0 {
        slots
    } else if is_hampered {
        slots * available_ms / added_ms
    } else if is_crowded {
        passes.mean_streams() * available_ms / added_ms
    } else {
        slots
    };
    let streams = carried.clamp(MIN_FRACTION * slots, slots);
    let state = GroupState { is_open: true, pass_ms, room: streams as u32 };
    GroupRoom { state, streams, slots, without_queue, is_hampered }
}

/// Number of streams that a service carries: those of its groups, and of the servers that belong to
/// no group.
pub fn carried(groups: &[GroupRoom], ungrouped_slots: f64) -> f64 {
    let open = || groups.iter().filter(|group| group.state.is_open);
    let has_unhampered = open().any(|group| !group.is_hampered);
    let of_group = |group: &GroupRoom| match group.is_hampered && !has_unhampered {
        true => group.without_queue,
        false => group.streams.min(group.without_queue),
    };
    open().map(of_group).sum::<f64>() + ungrouped_slots
}

/// Number of streams that may queue and still begin in time.
pub fn queueable(completions_per_s: f64, objective: &StreamObjective, means: StreamMeans) -> f64 {
    let left_ms = (objective.first_ms - means.first_ms).max(0.0);
    completions_per_s * left_ms / 1_000.0 * QUEUE_FRACTION
}
