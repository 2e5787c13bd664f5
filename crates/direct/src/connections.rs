//! Connections to backend servers, with one request at a time on each. The pool takes connections
//! whose answer was read to its end, and hands them out again. Its state is the idle connections;
//! it decides how long each is reused, by the time for which the server keeps it open.

use std::cell::RefCell;
use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use hooktrestle_clock::ProcessClock;
use hooktrestle_core::clock::Clock;
use hooktrestle_core::clock::Millis;
use hooktrestle_core::direct::pool::Server;
use hooktrestle_core::util::arena::Key;
use http::HeaderMap;
use tokio::task::AbortHandle;

use crate::bounded::RequestSender;
use crate::dial;

/// Maximum wait for a new connection: allows for some round trips between data centres and one lost
/// packet.
pub const DIAL_TIMEOUT: Duration = Duration::from_millis(350);

/// Time for which an idle connection is reused if the server advertises no keep-alive time-out.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(3);

/// How much earlier than the advertised time-out an idle connection is discarded, so that no
/// request crosses the server's close.
const IDLE_TIMEOUT_MARGIN: Duration = Duration::from_millis(1_000);

/// Maximum number of idle connections to one server.
pub const MAX_IDLE_PER_SERVER: usize = 4;

/// Maximum number of idle connections to one sidecar: one for reads, which come one after the
/// other, and one for orders. The leader of expert maps has them to all ranks of a service.
pub const MAX_IDLE_PER_SIDECAR: usize = 2;

/// A connection that one request uses exclusively. Dropping it closes it.
pub struct Connection {
    sender: RequestSender,
    driver: AbortHandle,
    server: Key<Server>,
    used: bool,
    idle_timeout: Duration,
}

struct Idle {
    connection: Connection,
    expires_at: Millis,
}

/// The pool of idle connections.
pub struct Connections {
    clock: ProcessClock,
    max_idle: usize,
    idle: RefCell<HashMap<Key<Server>, Vec<Idle>>>,
}

impl Connections {
    /// An empty pool for at most `max_idle` idle connections to each server. Idle time includes
    /// suspensions of this machine, since a server closes its end regardless of them.
    pub fn new(clock: ProcessClock, max_idle: usize) -> Connections {
        Connections { clock, max_idle, idle: RefCell::default() }
    }

    /// Takes the most recently used idle connection to a server.
    pub fn idle(&self, server: Key<Server>) -> Option<Connection> {
        let mut idle = self.idle.borrow_mut();
        let of_server = idle.get_mut(&server)?;
        let now = self.clock.now();
        of_server.retain(|idle| idle.expires_at > now && !idle.connection.sender.is_closed());
        let ready = of_server.iter().rposition(|idle| idle.connection.sender.is_ready())?;
        Some(of_server.remove(ready).connection)
    }

    /// Puts back a connection whose answer was read to its end, if the server keeps it open.
    pub fn put_back(&self, connection: Connection) {
        if connection.sender.is_closed() || connection.idle_timeout.is_zero() {
            return;
        }
        let mut idle = self.idle.borrow_mut();
        let of_server = idle.entry(connection.server).or_default();
        if of_server.len() >= self.max_idle {
            return;
        }
        let expires_at = self.clock.now() + Millis::from(connection.idle_timeout);
        of_server.push(Idle { connection, expires_at });
    }

    /// Closes idle connections whose time-out has passed.
    pub fn sweep(&self) {
        let now = self.clock.now();
        self.idle.borrow_mut().retain(|_, of_server| {
            of_server.retain(|idle| idle.expires_at > now && !idle.connection.sender.is_closed());
            !of_server.is_empty()
        });
    }
}

impl Connection {
    /// Opens a connection.
    ///
    /// # Errors
    ///
    /// The server cannot be reached within [`DIAL_TIMEOUT`].
    pub async fn open(server: Key<Server>, address: SocketAddr) -> io::Result<Connection> {
        Connection::open_with_timeout(server, address, DIAL_TIMEOUT).await
    }

    /// Opens a connection with another time-out than [`DIAL_TIMEOUT`].
    ///
    /// # Errors
    ///
    /// As [`Connection::open`].
    pub async fn open_with_timeout(
        server: Key<Server>,
        address: SocketAddr,
        timeout: Duration,
    ) -> io::Result<Connection> {
        let (sender, driver) = dial::dial_http(address, timeout).await?;
        Ok(Connection { sender, driver, server, used: false, idle_timeout: DEFAULT_IDLE_TIMEOUT })
    }

    /// The sender for requests on this connection.
    pub fn sender(&mut self) -> &mut RequestSender {
        &mut self.sender
    }

    /// Whether neither end has closed it, as far as this one knows.
    pub fn is_open(&self) -> bool {
        !self.sender.is_closed()
    }

    /// Whether an earlier request was answered on this connection.
    pub fn used(&self) -> bool {
        self.used
    }

    /// Marks the connection as used, and reads its keep-alive time-out from the head of an answer.
    pub fn on_answer(&mut self, headers: &HeaderMap) {
        self.used = true;
        let advertised = headers.get("keep-alive").and_then(|value| value.to_str().ok());
        let advertised = advertised.and_then(|text| {
            let timeout =
                text.split(',').find_map(|parameter| parameter.trim().strip_prefix("timeout="));
            timeout.and_then(|seconds| seconds.trim().parse::<u64>().ok())
        });
        if let Some(seconds) = advertised {
            self.idle_timeout = Duration::from_secs(seconds).saturating_sub(IDLE_TIMEOUT_MARGIN);
        }
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        // Closes the socket, also while an answer is being received, so that the server stops the
        // work.
        self.driver.abort();
    }
}
