//! Delta encoding of expert counts: a counter snapshot is sent as differences from an earlier one.
//! Input: the counts of a rank. State: the last snapshots sent, and the last one received.
//! The sender decides which snapshot is the base of a delta, the receiver whether it has that base.
//!
//! A rank counts from its start on, for thousands of experts, and the leader of its group's map
//! reads the counts several times a second. The differences from the previous snapshot are a few
//! small numbers. Full counts are some 18 kB with 16 sets of 192 experts: 38 ranks, each read every
//! 120 ms, filled a link of 40 Mbit/s, and orders were a second late. A compressed delta takes a
//! tenth of that.
//!
//! Snapshots are numbered by the process beside the rank, the sidecar. It stores the last few, so
//! that several leaders can read. A leader that names a snapshot which is not stored gets full
//! counts. The numbers start at a random value whenever the sidecar starts, so that a snapshot of
//! one incarnation is not mistaken for one of another.

use std::collections::VecDeque;

use hooktrestle_schema::CountsNews;

/// Number of stored snapshots: the last one of a leader, one whose response was lost, and the same
/// for a second leader.
const MAX_SNAPSHOTS: usize = 4;

/// How often the requests of a rank chose each expert.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Counts {
    /// Epoch of the group.
    pub epoch: u64,
    /// Last pass that has begun.
    pub pass: u64,
    /// Counts since the rank's start, set by set.
    pub counts: Vec<u64>,
}

#[derive(Clone, Debug)]
struct Snapshot {
    number: u64,
    epoch: u64,
    counts: Vec<u64>,
}

/// The sender's side of the encoding.
#[derive(Clone, Debug)]
pub struct DeltaEncoder {
    snapshots: VecDeque<Snapshot>,
    next: u64,
}

impl DeltaEncoder {
    /// An encoder without snapshots, whose numbers start at a value derived from `origin`.
    pub fn new(origin: u64) -> DeltaEncoder {
        // 0 means no snapshot.
        DeltaEncoder { snapshots: VecDeque::new(), next: (origin >> 1).max(1) }
    }

    /// Encodes counts for a receiver that has the snapshot with the number `known`.
    pub fn encode(&mut self, read: Counts, known: u64) -> CountsNews {
        let number = self.next;
        self.next += 1;
        let base = self
            .snapshots
            .iter()
            .find(|snapshot| snapshot.number == known && snapshot.precedes(&read));
        let message = CountsNews {
            reading_number: number,
            since_number: base.map_or(0, |base| base.number),
            epoch: read.epoch,
            pass_number: read.pass,
            counts: match base {
                Some(base) => {
                    read.counts.iter().zip(&base.counts).map(|(new, old)| new - old).collect()
                }
                None => read.counts.clone(),
            },
        };
        if self.snapshots.len() >= MAX_SNAPSHOTS {
            self.snapshots.pop_front();
        }
        self.snapshots.push_back(Snapshot { number, epoch: read.epoch, counts: read.counts });
        message
    }
}

impl Snapshot {
    /// Whether `later` continues this snapshot: a rank that was restarted counts from zero.
    fn precedes(&self, later: &Counts) -> bool {
        self.epoch == later.epoch
            && self.counts.len() == later.counts.len()
            && self.counts.iter().zip(&later.counts).all(|(old, new)| old <= new)
    }
}

/// The receiver's side of the encoding, for one rank.
#[derive(Clone, Debug, Default)]
pub struct DeltaDecoder {
    last: Option<Snapshot>,
}

impl DeltaDecoder {
    /// Number of the snapshot that the receiver has; 0 for none.
    pub fn known(&self) -> u64 {
        self.last.as_ref().map_or(0, |last| last.number)
    }

    /// Returns the full counts of a message; `None` if it is a delta from a snapshot that the
    /// receiver does not have. The next message then has full counts.
    pub fn decode(&mut self, message: CountsNews) -> Option<Counts> {
        let last = self.last.take();
        let mut counts = message.counts;
        if message.since_number > 0 {
            let last = last.filter(|last| last.number == message.since_number)?;
            if last.counts.len() != counts.len() {
                return None;
            }
            for (new, old) in counts.iter_mut().zip(&last.counts) {
                *new = new.checked_add(*old)?;
            }
        }
        let (number, epoch) = (message.reading_number, message.epoch);
        self.last = Some(Snapshot { number, epoch, counts: counts.clone() });
        Some(Counts { epoch, pass: message.pass_number, counts })
    }
}
