//! Memory for the bodies of requests at one gateway.
//! Input: the sizes of bodies before they are read, and when they are dropped. State: bytes reserved.
//! Decides whether a body may be read.
//!
//! A body is held until its request is answered, since it may have to be sent to another server. A
//! process beyond the memory of its instance is ended by the platform, with all requests that it
//! has in flight. So bytes are reserved before they are read, and a request whose body finds no
//! room is refused: it has not run.

/// Fraction of the memory that is available to large bodies, as numerator and denominator. The
/// remainder is for small ones, so that uploads do not keep out ordinary requests.
const LARGE_BODIES_FRACTION: (usize, usize) = (3, 4);

/// Size from which a body is large.
const LARGE_BODY_BYTES: usize = 64 << 10;

/// Whether a body may be read.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Reservation {
    /// The bytes are reserved.
    Reserved,
    /// There is no room for them.
    NoRoom,
}

/// Bytes reserved for the bodies of requests.
#[derive(Clone, Copy, Debug)]
pub struct BodyMemory {
    budget_bytes: usize,
    reserved_bytes: usize,
}

impl BodyMemory {
    /// Nothing is reserved of this budget.
    pub fn new(budget_bytes: usize) -> BodyMemory {
        BodyMemory { budget_bytes, reserved_bytes: 0 }
    }

    /// Bytes reserved for all bodies.
    pub fn reserved_bytes(&self) -> usize {
        self.reserved_bytes
    }

    /// Reserves further bytes for a body that has `held_bytes` already. A body that is alone may
    /// exceed the budget: it would never be read otherwise.
    pub fn reserve(&mut self, held_bytes: usize, bytes: usize) -> Reservation {
        let (numerator, denominator) = LARGE_BODIES_FRACTION;
        let budget = match held_bytes + bytes {
            size if size >= LARGE_BODY_BYTES => self.budget_bytes / denominator * numerator,
            _ => self.budget_bytes,
        };
        let is_alone = self.reserved_bytes == held_bytes;
        if self.reserved_bytes + bytes > budget && !is_alone {
            return Reservation::NoRoom;
        }
        self.reserved_bytes += bytes;
        Reservation::Reserved
    }

    /// Releases the bytes of a body that was dropped.
    pub fn release(&mut self, bytes: usize) {
        self.reserved_bytes = self.reserved_bytes.saturating_sub(bytes);
    }
}
