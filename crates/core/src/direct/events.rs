//! A stream of events (`text/event-stream`), cut between events only.
//!
//! A backend server may stop in the middle of an event, and another may go on after the last whole
//! one. So only whole events are passed on, and each only once, told by its id.

/// Most bytes held for an event that has not ended; a longer one is passed on in pieces.
const MOST_HELD_BYTES: usize = 1 << 20;

/// What a caller has had of a stream.
#[derive(Clone, Debug, Default)]
pub struct EventBuffer {
    held: Vec<u8>,
    last_id: Option<u64>,
}

impl EventBuffer {
    /// The id of the last event that was passed on.
    pub fn last_id(&self) -> Option<u64> {
        self.last_id
    }

    /// Takes bytes as they came, and returns the whole events that are new to the caller.
    pub fn push(&mut self, bytes: &[u8]) -> Vec<u8> {
        self.held.extend_from_slice(bytes);
        let mut passed = Vec::with_capacity(self.held.len());
        let mut begin = 0;
        while let Some(end) = event_end(&self.held, begin) {
            let event = &self.held[begin..end];
            match id(event) {
                Some(id) if self.last_id.is_some_and(|last| id <= last) => {}
                Some(id) => {
                    self.last_id = Some(id);
                    passed.extend_from_slice(event);
                }
                None => passed.extend_from_slice(event),
            }
            begin = end;
        }
        self.held.drain(..begin);
        if self.held.len() > MOST_HELD_BYTES {
            passed.append(&mut self.held);
        }
        passed
    }

    /// The server has broken off: what it began is dropped.
    pub fn discard_partial(&mut self) {
        self.held.clear();
    }

    /// The server has ended the stream: what it sent last without an end, if anything.
    pub fn end(&mut self) -> Vec<u8> {
        std::mem::take(&mut self.held)
    }
}

/// Index after the blank line that ends the event at `begin`.
fn event_end(bytes: &[u8], begin: usize) -> Option<usize> {
    let mut line = begin;
    for (index, byte) in bytes.iter().enumerate().skip(begin) {
        if *byte != b'\n' {
            continue;
        }
        let text = &bytes[line..index];
        if text.is_empty() || text == b"\r" {
            return Some(index + 1);
        }
        line = index + 1;
    }
    None
}

fn id(event: &[u8]) -> Option<u64> {
    event.split(|byte| *byte == b'\n').find_map(|line| {
        let value = line.strip_prefix(b"id:")?;
        std::str::from_utf8(value).ok()?.trim().parse().ok()
    })
}
