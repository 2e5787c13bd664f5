//! Leader lease in a row of the platform store: decides whether this process writes the row.
//! Input: the row as it was read, and the outcome of writes.
//! State: the newest version with the time at which it was first read, and the epoch held.
//!
//! The holder renews the lease by writing the row periodically. Another process observes the row's
//! version on its own clock. If the version has not changed for the duration of the lease, the
//! process writes the row with the next epoch, on the condition that the row still has that
//! version. So two processes cannot both succeed, and timestamps of different processes are never
//! compared.
//!
//! A holder that was suspended may consider the lease still held, so the lease only keeps leaders
//! from competing. Safety depends on the epoch, which receivers of orders check.

use crate::clock::Millis;

/// The lease row as it was read.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ObservedLease {
    /// Version of the row.
    pub version: u64,
    /// Name of the holder.
    pub holder: String,
    /// Grows with each change of the holder, and after [`Lease::require_new_epoch`].
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
    /// Another process holds the lease, or may hold it.
    Wait,
}

/// State of a lease at one process.
#[derive(Clone, Debug)]
pub struct Lease {
    holder: String,
    duration: Millis,
    newest: Option<(u64, Millis)>,
    held: Option<(u64, Millis)>,
    needs_new_epoch: bool,
}

impl Lease {
    /// A lease that has not been read yet. `holder` is the name of this process, and differs for
    /// each incarnation.
    pub fn new(holder: String, duration: Millis) -> Lease {
        Lease { holder, duration, newest: None, held: None, needs_new_epoch: false }
    }

    /// Handles a read of the row, and returns what to do next.
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

    /// Records a successful write that was started at `began`. Other processes wait at least for
    /// the duration of the lease from that time.
    pub fn wrote(&mut self, began: Millis, epoch: u64) {
        self.held = Some((epoch, began + self.duration));
        self.needs_new_epoch = false;
    }

    /// Ends leadership under the current epoch, because work under it was left unfinished. The
    /// holder continues only under the next epoch, so that receivers cannot mistake its own late
    /// orders for new ones.
    pub fn require_new_epoch(&mut self) {
        self.held = None;
        self.needs_new_epoch = true;
    }

    /// The epoch under which this process leads; `None` if the lease may have lapsed. Must be
    /// called directly before each action, since the process may have been suspended since the
    /// last call.
    pub fn epoch(&self, now: Millis) -> Option<u64> {
        self.held.filter(|(_, until)| now < *until).map(|(epoch, _)| epoch)
    }
}
