//! Connections to backend servers: one request at a time on each, kept while the server keeps it.

use std::cell::RefCell;
use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use hooktrestle_clock::ProcessClock;
use hooktrestle_core::clock::Clock;
use hooktrestle_core::clock::Millis;
use hooktrestle_core::direct::pool::Server;
use hooktrestle_core::util::arena::Key;
use http::HeaderMap;
use http_body_util::Full;
use hyper::client::conn::http1::SendRequest;
use tokio::task::AbortHandle;

use crate::dial;

/// Longest wait for a new connection: some round trips between the users' data centres, and one
/// lost packet.
pub const DIAL_TIMEOUT: Duration = Duration::from_millis(350);

/// How long an idle connection is used where the server does not say how long it keeps it.
const KEPT_UNTOLD: Duration = Duration::from_secs(3);

/// How much earlier than the server a connection is given up, so that a request does not cross its
/// close.
const EARLIER: Duration = Duration::from_millis(1_000);

/// Most idle connections to one server.
const MOST_IDLE: usize = 4;

/// A connection that one request has to itself. If dropped, it is closed.
pub struct Connection {
    sender: SendRequest<Full<Bytes>>,
    driver: AbortHandle,
    server: Key<Server>,
    used: bool,
    kept: Duration,
}

struct Idle {
    connection: Connection,
    until: Millis,
}

/// All connections that are idle.
pub struct Connections {
    clock: ProcessClock,
    idle: RefCell<HashMap<Key<Server>, Vec<Idle>>>,
}

impl Connections {
    /// None is idle. Time asleep counts: a server keeps its end no longer for that.
    pub fn new(clock: ProcessClock) -> Connections {
        Connections { clock, idle: RefCell::default() }
    }

    /// An idle connection to a server, the one used last first.
    pub fn idle(&self, server: Key<Server>) -> Option<Connection> {
        let mut idle = self.idle.borrow_mut();
        let kept = idle.get_mut(&server)?;
        let now = self.clock.now();
        kept.retain(|idle| idle.until > now && !idle.connection.sender.is_closed());
        let ready = kept.iter().rposition(|idle| idle.connection.sender.is_ready())?;
        Some(kept.remove(ready).connection)
    }

    /// Keeps a connection whose answer was read to its end, if the server keeps it.
    pub fn put_back(&self, connection: Connection) {
        if connection.sender.is_closed() || connection.kept.is_zero() {
            return;
        }
        let mut idle = self.idle.borrow_mut();
        let kept = idle.entry(connection.server).or_default();
        if kept.len() >= MOST_IDLE {
            return;
        }
        let until = self.clock.now() + Millis::from(connection.kept);
        kept.push(Idle { connection, until });
    }

    /// Closes idle connections that are over their time.
    pub fn sweep(&self) {
        let now = self.clock.now();
        self.idle.borrow_mut().retain(|_, kept| {
            kept.retain(|idle| idle.until > now && !idle.connection.sender.is_closed());
            !kept.is_empty()
        });
    }
}

impl Connection {
    /// Opens a connection.
    ///
    /// # Errors
    ///
    /// The server cannot be reached in time.
    pub async fn open(server: Key<Server>, address: SocketAddr) -> io::Result<Connection> {
        Connection::open_with_timeout(server, address, DIAL_TIMEOUT).await
    }

    /// The same, with another bound on the time.
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
        Ok(Connection { sender, driver, server, used: false, kept: KEPT_UNTOLD })
    }

    /// The half that requests are sent on.
    pub fn sender(&mut self) -> &mut SendRequest<Full<Bytes>> {
        &mut self.sender
    }

    /// Whether an earlier request was answered on it.
    pub fn used(&self) -> bool {
        self.used
    }

    /// Notes how long the server keeps the connection, from the head of an answer.
    pub fn on_answer(&mut self, headers: &HeaderMap) {
        self.used = true;
        let told = headers.get("keep-alive").and_then(|value| value.to_str().ok());
        let told = told.and_then(|text| {
            let timeout = text.split(',').find_map(|part| part.trim().strip_prefix("timeout="));
            timeout.and_then(|seconds| seconds.trim().parse::<u64>().ok())
        });
        if let Some(seconds) = told {
            self.kept = Duration::from_secs(seconds).saturating_sub(EARLIER);
        }
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        // Closes the socket, also while an answer is under way: the server stops working on it.
        self.driver.abort();
    }
}
