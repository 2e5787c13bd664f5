//! Answers that callers still read as a stopping process ends: the kernel delivers what it has taken.
//! Input: the last moments of a stop, and connections whose callers read slowly. State: whether
//! answers are handed over, and how much the kernel takes for one connection.
//! Decides whether the send buffer of a connection is enlarged.
//!
//! Until then the kernel gets no more than it asks for. The process stays as long as callers read,
//! since its machine may go with it.

use std::cell::Cell;
use std::io;

use socket2::Domain;
use socket2::SockRef;
use socket2::Socket;
use socket2::Type;
use tokio::net::TcpStream;
use tokio::sync::Notify;

/// Size of the largest answer that is held for a caller. The kernel lowers it to its own maximum.
const WANTED_BYTES: usize = 4 << 20;

/// The hand-over of answers to the kernel.
#[derive(Default)]
pub struct HandOver {
    begun: Notify,
    /// Largest send buffer that the kernel allows, once answers are handed over.
    max_buffer_bytes: Cell<Option<usize>>,
}

impl HandOver {
    /// Begins to hand answers over.
    ///
    /// # Errors
    ///
    /// The kernel does not tell how large a send buffer may be: none is enlarged.
    pub fn begin(&self) -> io::Result<()> {
        if self.max_buffer_bytes.get().is_none() {
            self.max_buffer_bytes.set(Some(max_buffer_bytes()?));
        }
        self.begun.notify_waiters();
        Ok(())
    }

    /// Waits until answers are handed over.
    pub(super) async fn begun(&self) {
        self.begun.notified().await;
    }

    /// Enlarges the send buffer of a connection that takes nothing more, if answers are handed over.
    /// To set the size of one that is larger already would make it smaller.
    pub(super) fn enlarge(&self, stream: &TcpStream) {
        let Some(max_bytes) = self.max_buffer_bytes.get() else { return };
        let socket = SockRef::from(stream);
        if socket.send_buffer_size().is_ok_and(|bytes| bytes < max_bytes) {
            // An error means that the connection has ended.
            let _ = socket.set_send_buffer_size(WANTED_BYTES);
        }
    }
}

fn max_buffer_bytes() -> io::Result<usize> {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None)?;
    socket.set_send_buffer_size(WANTED_BYTES)?;
    socket.send_buffer_size()
}
