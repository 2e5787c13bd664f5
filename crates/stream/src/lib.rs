//! Byte streams of connections, as libraries for HTTP and WebSocket read them.
//! Input: bytes that a peer sends, and how many of them were of use. State: the bytes read in the
//! current turn, and those that the peer may still send. Decides when other tasks take their turn,
//! and when the connection fails.
//!
//! A parser that reads from a socket goes on for as long as there are bytes: over interim heads,
//! empty lines, the size of a chunk or pings. One peer that sends these without end would hold the
//! thread, and all connections that this thread serves.
//!
//! - [`BoundedStream`] lets others run after [`MAX_TURN_BYTES`], and fails once the allowance of its
//!   peer is used up.
//! - [`Allowance`] counts down with each byte that is read. Content that is handed on adds to it, and
//!   so does each new message.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::task::Context;
use std::task::Poll;

use tokio::io::AsyncRead;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;
use tokio::io::Take;

/// Maximum number of bytes that are read from one connection in a turn.
pub const MAX_TURN_BYTES: u64 = 4 << 10;

/// Bytes that may have been read ahead of the content that was handed on: a full buffer of the parser,
/// one for its reader and one between both, and framing.
const MAX_READ_AHEAD_BYTES: u64 = 4 * MAX_TURN_BYTES;

/// Bytes of framing that a byte of content allows for: chunks of a single byte have 5 to 9.
const FRAMING_PER_CONTENT_BYTE: u64 = 16;

/// Number of connections of this process that failed because their allowance was used up.
static FAILED: AtomicU64 = AtomicU64::new(0);

/// Number of connections of this process that failed because their allowance was used up.
pub fn failed_count() -> u64 {
    FAILED.load(Ordering::Relaxed)
}

/// How many bytes a peer may send before some of them are of use. Clones share the same count.
#[derive(Clone, Debug)]
pub struct Allowance {
    left_bytes: Arc<AtomicU64>,
    max_head_bytes: u64,
}

impl Allowance {
    /// An allowance for a message whose head has at most this size. A message without a body is all
    /// head.
    pub fn new(max_head_bytes: usize) -> Allowance {
        let allowance =
            Allowance { left_bytes: Arc::default(), max_head_bytes: max_head_bytes as u64 };
        allowance.begin_message();
        allowance
    }

    /// Allows for the head of the next message.
    pub fn begin_message(&self) {
        self.set(self.max_head_bytes.saturating_add(MAX_READ_AHEAD_BYTES));
    }

    /// Allows for the framing of a body whose head was handed on.
    pub fn begin_body(&self) {
        self.set(MAX_READ_AHEAD_BYTES);
    }

    /// Adds to the allowance for content of a body that was handed on.
    pub fn add_content(&self, bytes: usize) {
        let added = (bytes as u64).saturating_mul(1 + FRAMING_PER_CONTENT_BYTE);
        self.set(self.left_bytes().saturating_add(added).min(MAX_READ_AHEAD_BYTES));
    }

    /// Bytes that the peer may still send.
    pub fn left_bytes(&self) -> u64 {
        self.left_bytes.load(Ordering::Relaxed)
    }

    fn take(&self, bytes: u64) {
        self.set(self.left_bytes().saturating_sub(bytes));
    }

    fn set(&self, left_bytes: u64) {
        self.left_bytes.store(left_bytes, Ordering::Relaxed);
    }
}

/// A byte stream with an allowance for its peer, which ends its turn after [`MAX_TURN_BYTES`].
#[derive(Debug)]
pub struct BoundedStream<S> {
    /// Limited to what is left of the turn and of the allowance.
    inner: Take<S>,
    allowance: Allowance,
    turn_left_bytes: u64,
}

impl<S: AsyncRead> BoundedStream<S> {
    /// Bounds a stream by an allowance.
    pub fn new(stream: S, allowance: Allowance) -> BoundedStream<S> {
        BoundedStream { inner: stream.take(0), allowance, turn_left_bytes: MAX_TURN_BYTES }
    }

    /// The stream that is bounded.
    pub fn inner(&self) -> &S {
        self.inner.get_ref()
    }

    /// The allowance of its peer.
    pub fn allowance(&self) -> &Allowance {
        &self.allowance
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for BoundedStream<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.turn_left_bytes == 0 {
            self.turn_left_bytes = MAX_TURN_BYTES;
            context.waker().wake_by_ref();
            return Poll::Pending;
        }
        let left_bytes = self.allowance.left_bytes();
        if left_bytes == 0 {
            FAILED.fetch_add(1, Ordering::Relaxed);
            return Poll::Ready(Err(io::Error::new(
                io::ErrorKind::InvalidData,
                "the peer sent too much that is no content",
            )));
        }
        let limit = left_bytes.min(self.turn_left_bytes);
        self.inner.set_limit(limit);
        let polled = Pin::new(&mut self.inner).poll_read(context, buffer);
        let read_bytes = limit - self.inner.limit();
        match polled {
            Poll::Pending => self.turn_left_bytes = MAX_TURN_BYTES,
            Poll::Ready(_) => self.turn_left_bytes -= read_bytes,
        }
        self.allowance.take(read_bytes);
        polled
    }
}

impl<S: AsyncRead + AsyncWrite + Unpin> AsyncWrite for BoundedStream<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(self.inner.get_mut()).poll_write(context, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(self.inner.get_mut()).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(self.inner.get_mut()).poll_shutdown(context)
    }

    fn is_write_vectored(&self) -> bool {
        self.inner.get_ref().is_write_vectored()
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        pieces: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(self.inner.get_mut()).poll_write_vectored(context, pieces)
    }
}
