//! The stream of a connection on which answers are read.
//! Input: the bytes that a server sends, and when a request is sent to it. State: the line ends of the
//! head that is awaited. Decides that the connection fails if they are of two kinds. Writes pass through.

use std::cell::Cell;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::Context;
use std::task::Poll;
use std::task::ready;

use hooktrestle_core::direct::line_ends::LineEnds;
use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;

/// The head that is awaited on a connection. Clones share it.
#[derive(Clone, Debug, Default)]
pub(crate) struct AwaitedHead(Rc<Cell<LineEnds>>);

impl AwaitedHead {
    /// Awaits the head of the next answer.
    pub(crate) fn begin(&self) {
        self.0.set(LineEnds::default());
    }

    fn check(&self, bytes: &[u8]) -> io::Result<()> {
        let mut line_ends = self.0.get();
        let checked = line_ends.check(bytes);
        self.0.set(line_ends);
        checked.map_err(|error| io::Error::new(io::ErrorKind::InvalidData, error))
    }
}

/// A stream that fails at a head with line ends of two kinds.
#[derive(Debug)]
pub(crate) struct AnswerStream<S> {
    inner: S,
    head: AwaitedHead,
}

impl<S> AnswerStream<S> {
    pub(crate) fn new(inner: S, head: AwaitedHead) -> AnswerStream<S> {
        AnswerStream { inner, head }
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for AnswerStream<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let filled_bytes = buffer.filled().len();
        ready!(Pin::new(&mut self.inner).poll_read(context, buffer))?;
        Poll::Ready(self.head.check(&buffer.filled()[filled_bytes..]))
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for AnswerStream<S> {
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
