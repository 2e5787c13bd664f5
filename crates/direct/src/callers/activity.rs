//! The activity of a caller's connection: idle, receiving the head of a request, or answering it.
//! Reads from the connection and the end of an answer update it; the time-outs depend on it.

use std::cell::Cell;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;

use hooktrestle_clock::ProcessClock;
use hooktrestle_core::clock::Clock;
use hooktrestle_core::clock::Millis;
use hooktrestle_stream::Allowance;
use hooktrestle_stream::BoundedStream;
use http::Version;
use http_body_util::BodyExt;
use hyper::rt::ReadBufCursor;
use hyper_util::rt::TokioIo;
use socket2::SockRef;
use tokio::net::TcpStream;

use crate::bounded::BoundedBody;
use crate::callers::reader::Reader;
use crate::platform::Platform;

/// The activity of a connection, and since when.
#[derive(Clone, Copy)]
pub(super) enum Activity {
    /// No byte of a request was received.
    Idle(Millis),
    /// The head of a request is being received.
    Reading(Millis),
    /// The answer to a request is not complete.
    Answering,
    /// The body of a refused request is discarded as it arrives; the answer may be complete.
    Discarding,
    /// The answer was truncated, and an orderly end of the connection would make it look complete.
    Truncated,
}

/// The activity of a connection, shared between its reads and its answers.
pub(super) type SharedActivity = Rc<Cell<Activity>>;

/// Marks the connection as idle when it is dropped, after its answer was written.
pub(super) struct AnswerGuard {
    pub(super) shared_activity: SharedActivity,
    pub(super) clock: ProcessClock,
    /// HTTP version of the caller.
    pub(super) version: Version,
    /// The allowance of the caller, for its next request.
    pub(super) allowance: Allowance,
}

impl AnswerGuard {
    /// Records that the answer was truncated. To a caller of HTTP/1.0, which knows no chunks, only a
    /// reset of its connection shows that.
    pub(super) fn record_truncated(&self) {
        if self.version < Version::HTTP_11 {
            self.shared_activity.set(Activity::Truncated);
        }
    }
}

impl Drop for AnswerGuard {
    fn drop(&mut self) {
        if matches!(self.shared_activity.get(), Activity::Answering) {
            self.shared_activity.set(Activity::Idle(self.clock.now()));
            self.allowance.begin_message();
        }
    }
}

/// Discards the body of a refused request, until a time at the latest. Its caller may read the
/// answer only once it has sent the whole request, and closing the connection would reset it.
pub(super) async fn discard(
    shared_activity: SharedActivity,
    clock: ProcessClock,
    mut body: BoundedBody,
    allowance: Allowance,
    until: Millis,
) {
    shared_activity.set(Activity::Discarding);
    let rest = async { while let Some(Ok(_)) = body.frame().await {} };
    // A caller that sends for longer has given up.
    let _ = clock.timeout_at(until, rest).await;
    if matches!(shared_activity.get(), Activity::Discarding) {
        shared_activity.set(Activity::Idle(clock.now()));
        allowance.begin_message();
    }
}

/// A connection that records when the first bytes of a request are received, and whether the caller
/// reads.
pub(super) struct TrackedConnection<P: Platform> {
    pub(super) inner: TokioIo<BoundedStream<TcpStream>>,
    pub(super) shared_activity: SharedActivity,
    pub(super) clock: ProcessClock,
    pub(super) reader: Rc<Reader<P>>,
}

impl<P: Platform> TrackedConnection<P> {
    fn record_write(&self, written: &Poll<io::Result<usize>>) {
        match written {
            Poll::Ready(Ok(bytes)) => self.reader.record_read(*bytes),
            Poll::Ready(Err(_)) => {}
            Poll::Pending => {
                self.reader.record_stall();
                self.reader.hand_over().enlarge(self.inner.inner().inner());
            }
        }
    }
}

impl<P: Platform> Drop for TrackedConnection<P> {
    fn drop(&mut self) {
        if matches!(self.shared_activity.get(), Activity::Truncated) {
            let socket = SockRef::from(self.inner.inner().inner());
            // An error means that the connection has ended already.
            let _ = socket.set_linger(Some(Duration::ZERO));
        }
    }
}

impl<P: Platform> hyper::rt::Read for TrackedConnection<P> {
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

impl<P: Platform> hyper::rt::Write for TrackedConnection<P> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.inner).poll_write(context, bytes);
        self.record_write(&written);
        written
    }

    /// The HTTP library flushes the connection once its own buffer is empty.
    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        let flushed = Pin::new(&mut self.inner).poll_flush(context);
        if matches!(flushed, Poll::Ready(Ok(()))) {
            self.reader.record_written();
        }
        flushed
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
        let written = Pin::new(&mut self.inner).poll_write_vectored(context, pieces);
        self.record_write(&written);
        written
    }
}
