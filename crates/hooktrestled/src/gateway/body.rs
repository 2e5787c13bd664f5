//! The upload of a request body to a sidecar. The input is the caller's body and the sidecar's
//! credit; the state is the chunks received so far, buffered for a retry while the body is small.
//! The module decides when a chunk is sent, and whether a retry can send the body again.

use std::pin::Pin;
use std::sync::Arc;

use bytes::Bytes;
use futures_util::Stream;
use futures_util::StreamExt;
use hooktrestle_core::id::RequestId;
use hooktrestle_link::Sender;
use hooktrestle_schema::BodyFrame;
use hooktrestle_schema::Frame;
use tokio::sync::Mutex;
use tokio::sync::Semaphore;

/// Maximum body bytes buffered for a retry. A request with a larger body has one attempt only.
const MAX_BUFFERED_BYTES: usize = 256 * 1024;

/// Body bytes that may be sent before the first credit of the sidecar.
const INITIAL_CREDIT_BYTES: usize = 64 * 1024;

/// Maximum body bytes in one frame.
const MAX_PAYLOAD_BYTES: usize = 16 * 1024;

/// A caller's body as it arrives. It is boxed once for each request, not for each chunk.
pub(crate) type Chunks = Pin<Box<dyn Stream<Item = Result<Bytes, BodyError>> + Send>>;

/// Reason why a caller's body is incomplete.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum BodyError {
    /// The caller stopped sending before the end.
    Truncated,
    /// The body is larger than allowed.
    TooLarge,
}

struct Source {
    remaining: Chunks,
    buffered: Vec<Bytes>,
    buffered_bytes: usize,
    read_bytes: u64,
    limit_bytes: u64,
    ended: bool,
    overflowed: bool,
}

/// A request body. Attempts send it one after the other.
#[derive(Clone)]
pub(crate) struct Body {
    source: Arc<Mutex<Source>>,
}

impl std::fmt::Debug for Body {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("Body")
    }
}

impl Body {
    /// A body that is still arriving, of at most `limit_bytes`.
    pub(crate) fn new(remaining: Chunks, limit_bytes: u64) -> Body {
        let source = Source {
            remaining,
            buffered: Vec::new(),
            buffered_bytes: 0,
            read_bytes: 0,
            limit_bytes,
            ended: false,
            overflowed: false,
        };
        Body { source: Arc::new(Mutex::new(source)) }
    }

    /// A body that has arrived completely.
    pub(crate) fn complete(bytes: Bytes) -> Body {
        let limit_bytes = bytes.len() as u64;
        let one = futures_util::stream::iter([Ok(bytes)]);
        Body::new(Box::pin(one), limit_bytes)
    }

    /// Whether a retry can send the whole body again.
    pub(crate) async fn can_resend(&self) -> bool {
        !self.source.lock().await.overflowed
    }

    /// Sends the body from its beginning, within the credit.
    ///
    /// # Errors
    ///
    /// The body is incomplete; the attempt must be cancelled.
    pub(crate) async fn upload(
        &self,
        sender: &Sender,
        id: RequestId,
        credit: &Semaphore,
    ) -> Result<(), BodyError> {
        let mut index = 0;
        let mut sequence = 0;
        loop {
            let chunk = self.chunk(index).await?;
            index += 1;
            let last = chunk.is_none();
            let mut bytes = chunk.unwrap_or_default();
            loop {
                let payload = bytes.split_to(bytes.len().min(MAX_PAYLOAD_BYTES));
                let done = bytes.is_empty();
                if !send(sender, id, sequence, &payload, last && done, credit).await {
                    return Ok(());
                }
                sequence += 1;
                if done {
                    break;
                }
            }
            if last {
                return Ok(());
            }
        }
    }

    /// The chunk at `index`, from the buffer or from the caller; `None` at the end.
    async fn chunk(&self, index: usize) -> Result<Option<Bytes>, BodyError> {
        let mut source = self.source.lock().await;
        if !source.overflowed && index < source.buffered.len() {
            return Ok(Some(source.buffered[index].clone()));
        }
        if source.ended {
            return Ok(None);
        }
        match source.remaining.next().await {
            None => {
                source.ended = true;
                Ok(None)
            }
            Some(Err(error)) => Err(error),
            Some(Ok(bytes)) => source.buffer(bytes).map(Some),
        }
    }
}

impl Source {
    fn buffer(&mut self, bytes: Bytes) -> Result<Bytes, BodyError> {
        self.read_bytes += bytes.len() as u64;
        if self.read_bytes > self.limit_bytes {
            return Err(BodyError::TooLarge);
        }
        self.buffered_bytes += bytes.len();
        if self.buffered_bytes > MAX_BUFFERED_BYTES {
            self.overflowed = true;
            self.buffered = Vec::new();
        }
        if !self.overflowed {
            self.buffered.push(bytes.clone());
        }
        Ok(bytes)
    }
}

/// Credit at the start of an upload.
pub(crate) fn initial_credit() -> Arc<Semaphore> {
    Arc::new(Semaphore::new(INITIAL_CREDIT_BYTES))
}

/// Sends one frame when the credit allows; `false` if the link is lost. The request receives the
/// loss of the link as an event of its own.
async fn send(
    sender: &Sender,
    id: RequestId,
    sequence: u64,
    bytes: &[u8],
    last: bool,
    credit: &Semaphore,
) -> bool {
    let needed_bytes = u32::try_from(bytes.len()).unwrap_or(u32::MAX);
    match credit.acquire_many(needed_bytes).await {
        Ok(permit) => permit.forget(),
        Err(_) => return false,
    }
    let frame = Frame::Body(BodyFrame { id: id.into(), sequence, last });
    sender.send(&frame, bytes).await.is_ok()
}
