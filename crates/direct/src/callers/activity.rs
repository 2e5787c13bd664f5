//! What a caller's connection is at: whether it rests, a head is coming, or an answer is due.

use std::cell::Cell;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::Context;
use std::task::Poll;

use hooktrestle_clock::ProcessClock;
use hooktrestle_core::clock::Clock;
use hooktrestle_core::clock::Millis;
use hyper::rt::ReadBufCursor;
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;

/// What a connection is at, and since when.
#[derive(Clone, Copy)]
pub(super) enum Activity {
    /// Nothing of a request has come.
    Idle(Millis),
    /// A request's head is coming.
    Reading(Millis),
    /// A request has no whole answer yet.
    Answering,
}

/// What a connection is at, shared by who reads from it and who answers on it.
pub(super) type SharedActivity = Rc<Cell<Activity>>;

/// The connection rests again once its answer is written.
pub(super) struct AnswerGuard {
    pub(super) shared_activity: SharedActivity,
    pub(super) clock: ProcessClock,
}

impl Drop for AnswerGuard {
    fn drop(&mut self) {
        self.shared_activity.set(Activity::Idle(self.clock.now()));
    }
}

/// A connection that notes when the first bytes of a request come.
pub(super) struct TrackedConnection {
    pub(super) inner: TokioIo<TcpStream>,
    pub(super) shared_activity: SharedActivity,
    pub(super) clock: ProcessClock,
}

impl hyper::rt::Read for TrackedConnection {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        let polled = Pin::new(&mut self.inner).poll_read(context, buffer);
        if let (Poll::Ready(Ok(())), Activity::Idle(_)) = (&polled, self.shared_activity.get()) {
            self.shared_activity.set(Activity::Reading(self.clock.now()));
        }
        polled
    }
}

impl hyper::rt::Write for TrackedConnection {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.inner).poll_write(context, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_shutdown(context)
    }

    fn is_write_vectored(&self) -> bool {
        self.inner.is_write_vectored()
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        pieces: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.inner).poll_write_vectored(context, pieces)
    }
}
