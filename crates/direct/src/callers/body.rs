//! The body of an answer to a caller: yields the bytes of a whole answer, or the frames of a
//! stream. The HTTP library drops it once it has taken all of it, before the caller has read that;
//! its request then counts as in flight until the connection has written everything.

use std::pin::Pin;
use std::rc::Rc;
use std::task::Context;
use std::task::Poll;

use bytes::Bytes;
use futures_util::Stream;
use http_body::Body;
use http_body::SizeHint;
use hyper::body::Frame;

use crate::bodies::MAX_PIECE_BYTES;
use crate::callers::delivery::Delivery;
use crate::callers::reader::Reader;
use crate::platform::Platform;
use crate::relay::TruncatedStream;

/// The frames of an answer that is forwarded.
pub(super) trait FrameStream: Stream<Item = Result<Frame<Bytes>, TruncatedStream>> {}

impl<S> FrameStream for S where S: Stream<Item = Result<Frame<Bytes>, TruncatedStream>> {}

/// The bytes of a whole answer, or the frames of one that is forwarded: of events, or of an answer that
/// is too large to be held.
pub(super) enum Content<S, T> {
    Whole(Bytes),
    Stream(Pin<Box<S>>),
    PassThrough(Pin<Box<T>>),
}

/// The body of an answer to a caller.
pub(super) struct CallerBody<S, T, P: Platform> {
    content: Content<S, T>,
    reader: Rc<Reader<P>>,
    /// Present until the body is dropped.
    delivery: Option<Delivery<P>>,
}

impl<S, T, P: Platform> CallerBody<S, T, P> {
    pub(super) fn new(
        content: Content<S, T>,
        reader: Rc<Reader<P>>,
        delivery: Delivery<P>,
    ) -> Self {
        reader.set_streaming(matches!(content, Content::Stream(_)));
        CallerBody { content, reader, delivery: Some(delivery) }
    }
}

impl<S, T, P: Platform> Drop for CallerBody<S, T, P> {
    fn drop(&mut self) {
        self.reader.set_streaming(false);
        if let Some(delivery) = self.delivery.take() {
            self.reader.end_when_written(delivery);
        }
    }
}

impl<S: FrameStream, T: FrameStream, P: Platform> Body for CallerBody<S, T, P> {
    type Data = Bytes;
    type Error = TruncatedStream;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, TruncatedStream>>> {
        let polled = match &mut self.content {
            Content::Whole(bytes) => {
                let piece = bytes.split_to(bytes.len().min(MAX_PIECE_BYTES));
                Poll::Ready((!piece.is_empty()).then(|| Ok(Frame::data(piece))))
            }
            Content::Stream(frames) => frames.as_mut().poll_next(context),
            Content::PassThrough(frames) => frames.as_mut().poll_next(context),
        };
        match &polled {
            Poll::Ready(Some(Ok(frame))) => {
                let bytes = frame.data_ref().map_or(0, Bytes::len);
                self.reader.hold(bytes);
                if let Some(delivery) = &self.delivery {
                    delivery.progress().record_answer_bytes(bytes);
                }
            }
            Poll::Ready(Some(Err(_))) => {
                self.reader.record_truncated();
                if let Some(delivery) = &self.delivery {
                    delivery.record_truncated();
                }
            }
            Poll::Ready(None) | Poll::Pending => {}
        }
        polled
    }

    fn is_end_stream(&self) -> bool {
        match &self.content {
            Content::Whole(bytes) => bytes.is_empty(),
            Content::Stream(_) | Content::PassThrough(_) => false,
        }
    }

    fn size_hint(&self) -> SizeHint {
        match &self.content {
            Content::Whole(bytes) => SizeHint::with_exact(bytes.len() as u64),
            Content::Stream(_) | Content::PassThrough(_) => SizeHint::default(),
        }
    }
}
