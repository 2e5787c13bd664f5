//! How often experts were chosen, told as what came since an earlier reading.
//!
//! A rank counts from its start on, for thousands of experts, and whoever leads its group's map reads
//! it several times a second. What came since the reading before is a few small numbers; all of it
//! again is some 18 kB with 16 sets of 192 experts, and 38 ranks read each 120 ms filled a link of 40
//! Mbit/s, so that orders came a second late. DeltaEncoder as differences and packed, a reading takes a tenth.
//!
//! Readings are numbered by the process beside the rank. It keeps the last few, so that several
//! leaders can read; one that names a reading which is not kept is told all. Numbers begin anew at
//! random when that process does, so that none is taken for another's.

use std::collections::VecDeque;

use hooktrestle_schema::CountsNews;

/// Readings that are kept: a leader's last one, that of one whose answer was lost, and the same for a
/// second leader.
const MOST_KEPT: usize = 4;

/// How often each expert was chosen by a rank's requests.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Counts {
    /// Life of the group.
    pub epoch: u64,
    /// Last pass that has begun.
    pub pass: u64,
    /// Set by set, since the rank's start.
    pub counts: Vec<u64>,
}

#[derive(Clone, Debug)]
struct Reading {
    number: u64,
    epoch: u64,
    counts: Vec<u64>,
}

/// The side that tells.
#[derive(Clone, Debug)]
pub struct DeltaEncoder {
    kept: VecDeque<Reading>,
    next: u64,
}

impl DeltaEncoder {
    /// Nothing was told yet; readings are numbered from above `origin`.
    pub fn new(origin: u64) -> DeltaEncoder {
        // 0 stands for none.
        DeltaEncoder { kept: VecDeque::new(), next: (origin >> 1).max(1) }
    }

    /// Tells a reading to one that knows the reading with the number `known`.
    pub fn encode(&mut self, read: Counts, known: u64) -> CountsNews {
        let number = self.next;
        self.next += 1;
        let base = self.kept.iter().find(|kept| kept.number == known && kept.precedes(&read));
        let news = CountsNews {
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
        if self.kept.len() >= MOST_KEPT {
            self.kept.pop_front();
        }
        self.kept.push_back(Reading { number, epoch: read.epoch, counts: read.counts });
        news
    }
}

impl Reading {
    /// Whether a later reading goes on from this one: a rank that was started anew counts from zero.
    fn precedes(&self, later: &Counts) -> bool {
        self.epoch == later.epoch
            && self.counts.len() == later.counts.len()
            && self.counts.iter().zip(&later.counts).all(|(old, new)| old <= new)
    }
}

/// The side that hears, for one rank.
#[derive(Clone, Debug, Default)]
pub struct DeltaDecoder {
    last: Option<Reading>,
}

impl DeltaDecoder {
    /// Number of the reading that is known; 0 for none.
    pub fn known(&self) -> u64 {
        self.last.as_ref().map_or(0, |last| last.number)
    }

    /// Takes what was told, and returns the whole reading; `None` if it says what came since a reading
    /// that is not known: the next one is told whole.
    pub fn decode(&mut self, news: CountsNews) -> Option<Counts> {
        let last = self.last.take();
        let mut counts = news.counts;
        if news.since_number > 0 {
            let last = last.filter(|last| last.number == news.since_number)?;
            if last.counts.len() != counts.len() {
                return None;
            }
            for (new, old) in counts.iter_mut().zip(&last.counts) {
                *new = new.checked_add(*old)?;
            }
        }
        let (number, epoch) = (news.reading_number, news.epoch);
        self.last = Some(Reading { number, epoch, counts: counts.clone() });
        Some(Counts { epoch, pass: news.pass_number, counts })
    }
}
