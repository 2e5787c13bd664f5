//! Bodies that are held whole: of callers' requests, and of answers that are no streams.
//! Input: a body as it arrives. State: the bytes reserved for bodies.
//! Decides by [`BodyMemory`] whether a body is read.

use std::cell::RefCell;
use std::rc::Rc;

use bytes::Bytes;
use hooktrestle_core::direct::body_memory::BodyMemory;
use hooktrestle_core::direct::body_memory::Reservation;
use http_body::Body;
use http_body_util::BodyExt;
use prometheus_client::metrics::gauge::Gauge;

/// Size of the pieces in which a whole answer is handed to the HTTP library, which copies each into a
/// buffer that its connection keeps.
pub const MAX_PIECE_BYTES: usize = 16 << 10;

/// Why a body was not read.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum BodyError {
    /// It is larger than the configuration allows.
    TooLarge,
    /// There is no room for it beside those that are held.
    NoRoom,
    /// The sender disconnected.
    Disconnected,
}

/// What was received of a body, with its memory.
pub enum Received {
    /// All of it.
    Whole(Bytes, ReservedBytes),
    /// What came before there was no room for more; the body yields the rest.
    Part(Bytes, ReservedBytes),
}

/// The bodies that a gateway holds.
#[derive(Clone)]
pub struct Bodies {
    memory: Rc<RefCell<BodyMemory>>,
    held_bytes: Gauge,
}

impl Bodies {
    /// Holds nothing. `held_bytes` shows how much is reserved.
    pub fn new(budget_bytes: usize, held_bytes: Gauge) -> Bodies {
        Bodies { memory: Rc::new(RefCell::new(BodyMemory::new(budget_bytes))), held_bytes }
    }

    /// Reads a body into memory that is reserved first: at once if its size is known, else as it
    /// arrives.
    ///
    /// # Errors
    ///
    /// The body is too large, there is no room for it, or the sender disconnected.
    pub async fn read<B>(
        &self,
        body: &mut B,
        max_bytes: usize,
    ) -> Result<(Bytes, ReservedBytes), BodyError>
    where
        B: Body<Data = Bytes> + Unpin,
    {
        let mut reserved = ReservedBytes { bodies: self.clone(), bytes: 0 };
        let mut received = Vec::new();
        if let Some(size) = known_size(body) {
            reserved.extend(&mut received, size, max_bytes)?;
        }
        reserved.read(body, received, max_bytes).await
    }

    /// As [`Bodies::read`], but keeps what was received if there is no room for more.
    ///
    /// # Errors
    ///
    /// The sender disconnected.
    pub async fn read_while_room<B>(
        &self,
        body: &mut B,
        max_bytes: usize,
    ) -> Result<Received, BodyError>
    where
        B: Body<Data = Bytes> + Unpin,
    {
        let mut reserved = ReservedBytes { bodies: self.clone(), bytes: 0 };
        let mut received = Vec::new();
        if let Some(size) = known_size(body)
            && reserved.extend(&mut received, size, max_bytes).is_err()
        {
            return Ok(Received::Part(Bytes::new(), reserved));
        }
        while let Some(frame) = body.frame().await {
            let Ok(frame) = frame else { return Err(BodyError::Disconnected) };
            // Trailers are not forwarded.
            let Ok(data) = frame.into_data() else { continue };
            let has_room = reserved.extend(&mut received, data.len(), max_bytes).is_ok();
            received.extend_from_slice(&data);
            if !has_room {
                return Ok(Received::Part(Bytes::from(received), reserved));
            }
        }
        Ok(Received::Whole(Bytes::from(received), reserved))
    }

    fn observe_held(&self) {
        self.held_bytes.set(self.memory.borrow().reserved_bytes() as i64);
    }
}

/// Bytes reserved for one body, released when dropped.
pub struct ReservedBytes {
    bodies: Bodies,
    bytes: usize,
}

impl ReservedBytes {
    /// Reads a body behind what was received.
    async fn read<B>(
        mut self,
        body: &mut B,
        mut received: Vec<u8>,
        max_bytes: usize,
    ) -> Result<(Bytes, ReservedBytes), BodyError>
    where
        B: Body<Data = Bytes> + Unpin,
    {
        while let Some(frame) = body.frame().await {
            let Ok(frame) = frame else { return Err(BodyError::Disconnected) };
            // Trailers are not forwarded.
            let Ok(data) = frame.into_data() else { continue };
            self.extend(&mut received, data.len(), max_bytes)?;
            received.extend_from_slice(&data);
        }
        Ok((Bytes::from(received), self))
    }

    /// Makes room for further bytes behind those received. The capacity is what counts as memory;
    /// it doubles, as that of a body of unknown size would otherwise be extended for each piece.
    fn extend(
        &mut self,
        received: &mut Vec<u8>,
        further: usize,
        max_bytes: usize,
    ) -> Result<(), BodyError> {
        let size = received.len().saturating_add(further);
        if size > max_bytes {
            return Err(BodyError::TooLarge);
        }
        if size <= self.bytes {
            return Ok(());
        }
        let capacity = size.max(2 * self.bytes).min(max_bytes);
        let added = capacity - self.bytes;
        if self.bodies.memory.borrow_mut().reserve(self.bytes, added) == Reservation::NoRoom {
            return Err(BodyError::NoRoom);
        }
        self.bytes = capacity;
        self.bodies.observe_held();
        received.reserve_exact(capacity - received.len());
        Ok(())
    }
}

impl Drop for ReservedBytes {
    fn drop(&mut self) {
        self.bodies.memory.borrow_mut().release(self.bytes);
        self.bodies.observe_held();
    }
}

fn known_size<B: Body>(body: &B) -> Option<usize> {
    let size = body.size_hint().exact()?;
    Some(usize::try_from(size).unwrap_or(usize::MAX))
}
