//! HTTP messages over a [`BoundedStream`]: the client and the server of a connection, and bodies.
//! Input: requests to send or to answer, and bodies as they arrive. State: the allowance of the connection.
//! Decides which bytes of a message are content, which adds to the allowance, and which answers have a
//! head from which their body can be read.

use std::convert::Infallible;
use std::error::Error;
use std::fmt;
use std::pin::Pin;
use std::task::Context;
use std::task::Poll;

use bytes::Bytes;
use hooktrestle_core::direct::answer_heads;
use hooktrestle_core::direct::answer_heads::HeadFault;
use hooktrestle_schema::Framing;
use hooktrestle_stream::Allowance;
use hooktrestle_stream::BoundedStream;
use http::Request;
use http::Response;
use http::response::Parts;
use http_body::Body;
use http_body::SizeHint;
use http_body_util::Full;
use hyper::body::Frame;
use hyper::body::Incoming;
use hyper::client::conn::http1::SendRequest;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;

use crate::answer_stream::AwaitedHead;

/// Maximum size of the head of a request to a listener that is not for callers.
const MAX_HEAD_BYTES: usize = 64 << 10;

/// Serves an accepted connection with `answer` until it ends.
///
/// # Errors
///
/// The connection failed, or the peer sent too much that is no content.
pub(crate) async fn serve<F: Future<Output = Response<Full<Bytes>>>>(
    stream: TcpStream,
    answer: impl Fn(Request<BoundedBody>) -> F,
) -> hyper::Result<()> {
    let allowance = Allowance::new(MAX_HEAD_BYTES);
    let stream = TokioIo::new(BoundedStream::new(stream, allowance.clone()));
    let service = service_fn(|request: Request<Incoming>| {
        let answer = answer(request.map(|body| BoundedBody::begin(body, &allowance)));
        let allowance = allowance.clone();
        async move {
            let answer = answer.await;
            allowance.begin_message();
            Ok::<_, Infallible>(answer)
        }
    });
    let mut builder = http1::Builder::new();
    builder.auto_date_header(false).max_buf_size(MAX_HEAD_BYTES);
    builder.serve_connection(stream, service).await
}

/// Sends requests on one connection, one after the other.
#[derive(Debug)]
pub struct RequestSender {
    sender: SendRequest<Full<Bytes>>,
    allowance: Allowance,
    head: AwaitedHead,
}

impl RequestSender {
    pub(crate) fn new(
        sender: SendRequest<Full<Bytes>>,
        allowance: Allowance,
        head: AwaitedHead,
    ) -> RequestSender {
        RequestSender { sender, allowance, head }
    }

    /// Sends a request, and waits for the head of its answer.
    ///
    /// # Errors
    ///
    /// There is no answer, or none that can be forwarded. The connection must not be used again.
    pub async fn send_request(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<ReceivedAnswer, RequestError> {
        self.allowance.begin_message();
        self.head.begin();
        let answered = self.sender.try_send_request(request).await;
        let answer = answered.map_err(|mut error| match error.take_message() {
            Some(_) => RequestError::Unsent(error.into_error()),
            None => RequestError::Connection(error.into_error()),
        })?;
        let (head, body) = answer.into_parts();
        let is_length_known = body.size_hint().exact().is_some();
        let framing = answer_heads::framing(head.status, &head.headers, is_length_known)
            .map_err(RequestError::MalformedHead)?;
        let body = BoundedBody::begin(body, &self.allowance);
        Ok(ReceivedAnswer { head, body, framing })
    }

    /// Whether the connection is closed, as far as this end knows.
    pub fn is_closed(&self) -> bool {
        self.sender.is_closed()
    }

    /// Whether a request can be sent now.
    pub fn is_ready(&self) -> bool {
        self.sender.is_ready()
    }
}

/// An answer whose head was received.
#[derive(Debug)]
pub struct ReceivedAnswer {
    /// Its head.
    pub head: Parts,
    /// Its body, as it is received.
    pub body: BoundedBody,
    /// What delimits its body.
    pub framing: Framing,
}

/// Why a request got no answer.
#[derive(Debug)]
pub enum RequestError {
    /// The connection failed before anything of the request was sent.
    Unsent(hyper::Error),
    /// The connection failed, or the peer sent too much that is no content, or no answer.
    Connection(hyper::Error),
    /// The head of the answer is malformed.
    MalformedHead(HeadFault),
}

impl RequestError {
    /// Whether nothing of the request was sent.
    pub fn is_unsent(&self) -> bool {
        matches!(self, RequestError::Unsent(_))
    }
}

impl fmt::Display for RequestError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            // The HTTP library's own text does not name the cause.
            RequestError::Unsent(error) | RequestError::Connection(error) => match error.source() {
                Some(source) => write!(f, "{error}: {source}"),
                None => write!(f, "{error}"),
            },
            RequestError::MalformedHead(fault) => write!(f, "malformed head: {fault}"),
        }
    }
}

impl Error for RequestError {}

/// A body whose content adds to the allowance of its connection as it is read.
#[derive(Debug)]
pub struct BoundedBody {
    body: Incoming,
    allowance: Allowance,
}

impl BoundedBody {
    /// The body of a message whose head was received.
    pub(crate) fn begin(body: Incoming, allowance: &Allowance) -> BoundedBody {
        allowance.begin_body();
        BoundedBody { body, allowance: allowance.clone() }
    }
}

impl Body for BoundedBody {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<hyper::Result<Frame<Bytes>>>> {
        let polled = Pin::new(&mut self.body).poll_frame(context);
        if let Poll::Ready(Some(Ok(frame))) = &polled
            && let Some(content) = frame.data_ref()
        {
            self.allowance.add_content(content.len());
        }
        polled
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
