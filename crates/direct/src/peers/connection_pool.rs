//! Connections to other gateways that are kept from one exchange to the next.

use std::cell::RefCell;
use std::collections::VecDeque;
use std::net::SocketAddr;

use eyre::Result;

use crate::peers::Socket;

/// Idle connections, so many at most.
pub(crate) struct ConnectionPool {
    most: usize,
    /// The one used last at the end.
    kept: RefCell<VecDeque<(SocketAddr, Socket)>>,
}

impl ConnectionPool {
    /// None yet, and at most `most` of them.
    pub(crate) fn new(most: usize) -> ConnectionPool {
        ConnectionPool { most, kept: RefCell::default() }
    }

    /// Exchanges something over the connection that is kept to an address, if there is one, else over a new one; once
    /// more over a new one where the kept one fails: the other may have been restarted since.
    ///
    /// # Errors
    ///
    /// As `exchange`.
    pub(crate) async fn exchange<T>(
        &self,
        address: SocketAddr,
        exchange: impl AsyncFn(Option<Socket>) -> Result<(Socket, T)>,
    ) -> Result<T> {
        let kept = self.take(address);
        let again = kept.is_some();
        let mut done = exchange(kept).await;
        if again && done.is_err() {
            done = exchange(None).await;
        }
        let (socket, value) = done?;
        self.keep(address, socket);
        Ok(value)
    }

    fn take(&self, address: SocketAddr) -> Option<Socket> {
        let mut kept = self.kept.borrow_mut();
        let place = kept.iter().position(|(known, _)| *known == address)?;
        kept.remove(place).map(|(_, socket)| socket)
    }

    fn keep(&self, address: SocketAddr, socket: Socket) {
        let mut kept = self.kept.borrow_mut();
        if kept.len() >= self.most {
            // The gateway at its other end may be long gone.
            kept.pop_front();
        }
        kept.push_back((address, socket));
    }
}
