//! The rest of an answer that is too large to be held: forwarded as its caller reads it.
//! Input: an answer of which a part was received. State: that part, until it is forwarded.
//! Decides whether the end of the body is the end of the answer.
//!
//! Its request cannot be sent to another server, as its caller has a part of the answer. It ends at its
//! deadline, since a server in trouble may send without end.

use std::rc::Rc;

use bytes::Bytes;
use futures_util::Stream;
use futures_util::stream;
use hooktrestle_schema::IncompleteReason;
use http::response::Parts;
use http_body_util::BodyExt;
use hyper::body::Frame;

use crate::bodies::MAX_PIECE_BYTES;
use crate::bodies::ReservedBytes;
use crate::exchange::Answer;
use crate::gateway::Gateway;
use crate::incomplete;
use crate::platform::Platform;
use crate::relay::TruncatedStream;
use crate::request::Request;

/// An answer of which a part was received.
pub struct PartialAnswer<P: Platform> {
    /// The answer; its body yields the rest.
    pub answer: Answer<P>,
    /// The part, with its memory.
    pub part: Bytes,
    /// Memory of the part.
    pub memory: ReservedBytes,
}

impl<P: Platform> PartialAnswer<P> {
    /// The head of the answer.
    pub fn head(&self) -> Parts {
        self.answer.head.clone()
    }
}

/// An answer that is forwarded.
struct PassThrough<P: Platform> {
    gateway: Rc<Gateway<P>>,
    request: Request<P>,
    answer: Answer<P>,
    /// What was received and is not forwarded yet.
    part: Option<(Bytes, ReservedBytes)>,
}

/// The frames of an answer, from its beginning.
pub fn frames<P: Platform>(
    gateway: Rc<Gateway<P>>,
    request: Request<P>,
    partial: PartialAnswer<P>,
) -> impl Stream<Item = Result<Frame<Bytes>, TruncatedStream>> {
    let PartialAnswer { answer, part, memory } = partial;
    let part = Some((part, memory));
    stream::unfold(Some(PassThrough { gateway, request, answer, part }), next_frame)
}

type NextFrame<P> = (Result<Frame<Bytes>, TruncatedStream>, Option<PassThrough<P>>);

/// The next frame, and what is left after it; `None` at the end.
async fn next_frame<P: Platform>(left: Option<PassThrough<P>>) -> Option<NextFrame<P>> {
    let mut passing = left?;
    if let Some((part, _)) = passing.part.as_mut().filter(|(part, _)| !part.is_empty()) {
        let piece = part.split_to(part.len().min(MAX_PIECE_BYTES));
        return Some((Ok(Frame::data(piece)), Some(passing)));
    }
    passing.part = None;
    loop {
        let frame = passing.answer.body.frame();
        match passing.gateway.clock.timeout_at(passing.request.deadline, frame).await {
            Ok(Some(Ok(frame))) => {
                // Trailers are not forwarded.
                if let Ok(data) = frame.into_data() {
                    passing.request.progress.record_received(passing.gateway.now());
                    return Some((Ok(Frame::data(data)), Some(passing)));
                }
            }
            Ok(None) if passing.answer.is_complete(&passing.gateway).await => {
                let PassThrough { gateway, request, answer, .. } = passing;
                answer.record_completed(&gateway, &request);
                gateway.metrics.answered.inc();
                answer.recycle(&gateway);
                return None;
            }
            ended @ (Ok(None | Some(Err(_))) | Err(_)) => {
                let PassThrough { gateway, request, answer, .. } = passing;
                let reason = match ended {
                    Ok(_) => IncompleteReason::BrokenOff,
                    Err(_) => IncompleteReason::DeadlinePassed,
                };
                incomplete::record(&gateway, &request.progress, reason);
                answer.record_truncated(&gateway, &request).await;
                return Some((Err(TruncatedStream), None));
            }
        }
    }
}
