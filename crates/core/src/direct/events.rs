//! Buffers a stream of events (`text/event-stream`), which is split only between events.
//! Input: the bytes of a backend server's answer. State: an incomplete event and the last event id.
//! Decides which events are forwarded to the caller.
//!
//! A backend server may stop in the middle of an event, and another may resume the stream after the
//! last complete one. So only complete events are forwarded, and each id only once.

/// Maximum size of an incomplete event in the buffer; a longer one is forwarded in pieces.
const MAX_BUFFERED_BYTES: usize = 64 << 10;

/// Where a stream has ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Position {
    /// No event was complete.
    BeforeFirstEvent,
    /// Between two events, or after the last one.
    BetweenEvents,
    /// Inside an event.
    InsideEvent,
}

/// The stream of one caller: buffered bytes, and the id of the last forwarded event.
#[derive(Clone, Debug, Default)]
pub struct EventBuffer {
    buffered: Vec<u8>,
    last_id: Option<u64>,
    /// Number of complete events, also of those that the caller had already.
    complete_count: u64,
    /// Whether the caller has a part of the event that is being received.
    is_event_split: bool,
}

impl EventBuffer {
    /// The id of the last event that was forwarded.
    pub fn last_id(&self) -> Option<u64> {
        self.last_id
    }

    /// Number of buffered bytes of an incomplete event.
    pub fn incomplete_bytes(&self) -> usize {
        self.buffered.len()
    }

    /// Where the stream is after the bytes so far.
    pub fn position(&self) -> Position {
        if self.is_event_split || !self.buffered.is_empty() {
            Position::InsideEvent
        } else if self.complete_count > 0 {
            Position::BetweenEvents
        } else {
            Position::BeforeFirstEvent
        }
    }

    /// Number of complete events so far, also of those that the caller had already.
    pub fn complete_count(&self) -> u64 {
        self.complete_count
    }

    /// Whether the caller has a part of an event, so that the rest must come from the same server.
    pub fn is_event_split(&self) -> bool {
        self.is_event_split
    }

    /// Whether these bytes complete an event, or are forwarded in pieces.
    pub fn is_completed_by(&self, bytes: &[u8]) -> bool {
        let received = [&self.buffered, bytes].concat();
        event_end(&received, 0).is_some() || received.len() > MAX_BUFFERED_BYTES
    }

    /// Adds received bytes, and returns the complete events that are new to the caller.
    pub fn push(&mut self, bytes: &[u8]) -> Vec<u8> {
        self.buffered.extend_from_slice(bytes);
        let mut forwarded = Vec::with_capacity(self.buffered.len());
        let mut begin = 0;
        while let Some(end) = event_end(&self.buffered, begin) {
            let event = &self.buffered[begin..end];
            match id(event) {
                Some(id) if self.last_id.is_some_and(|last| id <= last) => {}
                Some(id) => {
                    self.last_id = Some(id);
                    forwarded.extend_from_slice(event);
                }
                None => forwarded.extend_from_slice(event),
            }
            begin = end;
            self.complete_count += 1;
            self.is_event_split = false;
        }
        self.buffered.drain(..begin);
        if self.buffered.len() > MAX_BUFFERED_BYTES {
            forwarded.append(&mut self.buffered);
            self.is_event_split = true;
        }
        forwarded
    }

    /// Discards the incomplete event of a truncated stream.
    pub fn discard_partial(&mut self) {
        self.buffered.clear();
    }

    /// Ends the stream, and returns bytes that are no complete event.
    pub fn end(&mut self) -> Vec<u8> {
        std::mem::take(&mut self.buffered)
    }
}

/// Index after the blank line that ends the event at `begin`. A line ends with a line feed, a
/// carriage return or both.
fn event_end(bytes: &[u8], begin: usize) -> Option<usize> {
    let (mut line, mut index) = (begin, begin);
    while let Some(byte) = bytes.get(index) {
        index += 1;
        if !matches!(byte, b'\n' | b'\r') {
            continue;
        }
        let is_empty = index - 1 == line;
        index += usize::from(*byte == b'\r' && bytes.get(index) == Some(&b'\n'));
        if is_empty {
            return Some(index);
        }
        line = index;
    }
    None
}

fn id(event: &[u8]) -> Option<u64> {
    event.split(|byte| matches!(byte, b'\n' | b'\r')).find_map(|line| {
        let value = line.strip_prefix(b"id:")?;
        std::str::from_utf8(value).ok()?.trim().parse().ok()
    })
}
