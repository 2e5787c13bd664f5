//! Pool of idle connections to other gateways.
//! Input: connections that an exchange has finished with. State: up to a maximum of idle ones.
//! It decides whether an exchange reuses a connection, and which one to close when it is full.

use std::cell::RefCell;
use std::collections::VecDeque;
use std::net::SocketAddr;

use eyre::Result;

use crate::peers::socket::Socket;

/// Idle connections, up to a maximum number.
pub(crate) struct ConnectionPool {
    max_idle: usize,
    /// The most recently used one is the last.
    idle: RefCell<VecDeque<(SocketAddr, Socket)>>,
}

impl ConnectionPool {
    /// An empty pool for at most this number of connections.
    pub(crate) fn new(max_idle: usize) -> ConnectionPool {
        ConnectionPool { max_idle, idle: RefCell::default() }
    }

    /// Runs `exchange` over an idle connection to an address, or over a new one if there is none.
    /// If the exchange over an idle connection fails, it is retried once over a new one, since the
    /// peer may have been restarted.
    ///
    /// # Errors
    ///
    /// The error of `exchange`.
    pub(crate) async fn exchange<T>(
        &self,
        address: SocketAddr,
        exchange: impl AsyncFn(Option<Socket>) -> Result<(Socket, T)>,
    ) -> Result<T> {
        let idle = self.take(address);
        let reused = idle.is_some();
        let mut result = exchange(idle).await;
        if reused && result.is_err() {
            result = exchange(None).await;
        }
        let (socket, value) = result?;
        self.put_back(address, socket);
        Ok(value)
    }

    fn take(&self, address: SocketAddr) -> Option<Socket> {
        let mut idle = self.idle.borrow_mut();
        let index = idle.iter().position(|(known, _)| *known == address)?;
        idle.remove(index).map(|(_, socket)| socket)
    }

    fn put_back(&self, address: SocketAddr, socket: Socket) {
        let mut idle = self.idle.borrow_mut();
        if idle.len() >= self.max_idle {
            // The least recently used one: its gateway may not exist any more.
            idle.pop_front();
        }
        idle.push_back((address, socket));
    }
}
