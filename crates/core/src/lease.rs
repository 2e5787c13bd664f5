//! A lease in the table service, without clocks that agree.
//!
//! The holder writes the row anew now and then. Whoever wants the lease watches the row's version
//! on its own clock: if it has not changed for the lease's time, it takes the lease with an epoch
//! one higher, in a write that is conditional on that version. Two cannot both succeed, and times
//! of two processes are never compared.
//!
//! A holder that was paused may believe that it still holds the lease; so the lease only keeps
//! leaders from getting in each other's way. Safety rests on the epoch, which receivers check.

use crate::clock::Millis;

/// The row as it was read.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ObservedLease {
    /// Version of the row.
    pub version: u64,
    /// Who holds it.
    pub holder: String,
    /// Grows with each holder.
    pub epoch: u64,
}

/// What to do next.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Next {
    /// Write the row with this epoch, if it still has that version.
    Write {
        /// Condition of the write; 0 if there is no row.
        if_version: u64,
        /// Epoch to write.
        epoch: u64,
    },
    /// Somebody else holds it.
    Wait,
}

/// One process's view of a lease.
#[derive(Clone, Debug)]
pub struct Lease {
    holder: String,
    duration: Millis,
    newest: Option<(u64, Millis)>,
    held: Option<(u64, Millis)>,
    needs_new_epoch: bool,
}

impl Lease {
    /// A view that has seen nothing; `holder` is this process's name, different in each life.
    pub fn new(holder: String, duration: Millis) -> Lease {
        Lease { holder, duration, newest: None, held: None, needs_new_epoch: false }
    }

    /// The row was read.
    pub fn observe_row(&mut self, now: Millis, row: Option<&ObservedLease>) -> Next {
        let Some(row) = row else { return Next::Write { if_version: 0, epoch: 1 } };
        if row.holder == self.holder {
            let epoch = row.epoch + u64::from(self.needs_new_epoch);
            return Next::Write { if_version: row.version, epoch };
        }
        self.held = None;
        match self.newest {
            Some((version, since)) if version == row.version => {
                if now.since(since) < self.duration {
                    return Next::Wait;
                }
                Next::Write { if_version: row.version, epoch: row.epoch + 1 }
            }
            _ => {
                self.newest = Some((row.version, now));
                Next::Wait
            }
        }
    }

    /// A write has taken effect that was begun at `began`: others wait at least until that time
    /// and the lease's have passed.
    pub fn wrote(&mut self, began: Millis, epoch: u64) {
        self.held = Some((epoch, began + self.duration));
        self.needs_new_epoch = false;
    }

    /// What was done under this epoch was left unfinished: the holder goes on only under the next
    /// one, so that late orders of its own cannot be taken for new ones.
    pub fn require_new_epoch(&mut self) {
        self.held = None;
        self.needs_new_epoch = true;
    }

    /// The epoch under which this process leads; `None` if the lease may have lapsed. Ask right
    /// before acting: the process may have been paused since.
    pub fn epoch(&self, now: Millis) -> Option<u64> {
        self.held.filter(|(_, until)| now < *until).map(|(epoch, _)| epoch)
    }
}
