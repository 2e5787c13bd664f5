//! Answers that callers have not read yet, and the memory that they take at one gateway.
//! Input: bytes that are held for a caller, bytes that it has read, and when it reads nothing.
//! State: the bytes held for each caller. Decides which callers' connections are closed.
//!
//! An answer that is complete is held for a slow caller: it costs memory, and nothing else. The sum
//! of these bytes has a budget. Beyond it the callers that have read nothing for the longest time
//! are closed, and no others. A stream that is still under way also occupies a slot of its server,
//! so its caller is closed much earlier.

use std::collections::HashMap;

use crate::clock::Millis;

/// Bytes and time-outs for all callers of one gateway.
#[derive(Clone, Copy, Debug)]
pub struct Config {
    /// Bytes that may be held for callers that do not read.
    pub budget_bytes: usize,
    /// Time without a read after which the caller of a stream that is under way is closed. Servers
    /// cut off an answer that stays unread for some seconds.
    pub stream_stall_timeout: Millis,
}

/// A caller's connection.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct ReaderId(u64);

#[derive(Clone, Copy, Debug, Default)]
struct Reader {
    /// Bytes held for it.
    bytes: usize,
    /// Since when it reads nothing although bytes are held for it.
    stalled_since: Option<Millis>,
    /// Whether its answer is a stream that is under way.
    is_streaming: bool,
    /// Until when it waits for its answer.
    deadline: Option<Millis>,
}

/// What is held for the callers of one gateway.
#[derive(Clone, Debug)]
pub struct UnreadAnswers {
    config: Config,
    readers: HashMap<ReaderId, Reader>,
    next_id: u64,
    held_bytes: usize,
}

impl UnreadAnswers {
    /// No callers.
    pub fn new(config: Config) -> UnreadAnswers {
        UnreadAnswers { config, readers: HashMap::new(), next_id: 0, held_bytes: 0 }
    }

    /// Adds a caller's connection.
    pub fn open(&mut self) -> ReaderId {
        let id = ReaderId(self.next_id);
        self.next_id += 1;
        self.readers.insert(id, Reader::default());
        id
    }

    /// Removes a connection, with all that is held for it.
    pub fn close(&mut self, id: ReaderId) {
        if let Some(reader) = self.readers.remove(&id) {
            self.held_bytes -= reader.bytes;
        }
    }

    /// Bytes held for all callers.
    pub fn held_bytes(&self) -> usize {
        self.held_bytes
    }

    /// Bytes held for one caller.
    pub fn held_bytes_of(&self, id: ReaderId) -> usize {
        self.readers.get(&id).map_or(0, |reader| reader.bytes)
    }

    /// Holds bytes for a caller. Returns the callers to close so that the budget is kept, the one
    /// that has read nothing for the longest time first. What is held for them does not count any
    /// more.
    pub fn hold(&mut self, id: ReaderId, bytes: usize) -> Vec<ReaderId> {
        if let Some(reader) = self.readers.get_mut(&id) {
            reader.bytes += bytes;
            self.held_bytes += bytes;
        }
        let mut closed = Vec::new();
        while self.held_bytes > self.config.budget_bytes {
            let Some(slowest) = self.slowest() else { break };
            self.close(slowest);
            closed.push(slowest);
        }
        closed
    }

    fn slowest(&self) -> Option<ReaderId> {
        let stalled = self.readers.iter().filter(|(_, reader)| reader.bytes > 0);
        let stalled = stalled.filter_map(|(id, reader)| Some((reader.stalled_since?, *id)));
        stalled.min().map(|(_, id)| id)
    }

    /// Sets whether the answer to a caller is a stream that is under way.
    pub fn set_streaming(&mut self, id: ReaderId, is_streaming: bool) {
        if let Some(reader) = self.readers.get_mut(&id) {
            reader.is_streaming = is_streaming;
        }
    }

    /// Sets until when a caller waits for its answer.
    pub fn set_deadline(&mut self, id: ReaderId, deadline: Option<Millis>) {
        if let Some(reader) = self.readers.get_mut(&id) {
            reader.deadline = deadline;
        }
    }

    /// Records that a caller has read bytes; heads of answers, which are not held, may be among
    /// them.
    pub fn record_read(&mut self, id: ReaderId, bytes: usize) {
        if let Some(reader) = self.readers.get_mut(&id) {
            let released = bytes.min(reader.bytes);
            reader.bytes -= released;
            reader.stalled_since = None;
            self.held_bytes -= released;
        }
    }

    /// Records that a caller reads nothing at present.
    pub fn record_stall(&mut self, id: ReaderId, now: Millis) {
        if let Some(reader) = self.readers.get_mut(&id) {
            reader.stalled_since.get_or_insert(now);
        }
    }

    /// When a caller is closed unless it reads: early for a stream that is under way; for a complete
    /// answer after `idle_timeout`, and not before its deadline. A caller may read for a long time
    /// before the kernel accepts further bytes for it. `None` if it reads.
    pub fn stall_ends_at(&self, id: ReaderId, idle_timeout: Millis) -> Option<Millis> {
        let reader = self.readers.get(&id)?;
        let stalled_since = reader.stalled_since?;
        if reader.is_streaming {
            return Some(stalled_since + self.config.stream_stall_timeout);
        }
        Some((stalled_since + idle_timeout).max(reader.deadline.unwrap_or_default()))
    }
}
