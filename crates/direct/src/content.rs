//! Properties of an answer's body that its head shows: its framing, and whether it is a stream of
//! events. Input: the head and the body of an answer as received. It keeps no state.
//! Decides on which of the body's bytes the gateway may rely to tell a complete answer.

use hooktrestle_core::direct::answer_ends;
use hooktrestle_core::direct::answer_ends::Content;
use hooktrestle_schema::Framing;
use http::HeaderMap;
use http::header;
use hyper::body::Body;

use crate::headers;

/// What delimits the body of an answer with these headers.
pub fn of<B: Body>(headers: &HeaderMap, body: &B) -> Framing {
    let last = headers.get_all(header::TRANSFER_ENCODING).iter().next_back();
    let codings = last.and_then(|value| value.to_str().ok());
    answer_ends::framing(body.size_hint().exact().is_some(), codings)
}

/// What is known of the content of an answer with these headers, on a route for streams.
pub fn content(headers: &HeaderMap) -> Content {
    let [media_type, coding] = [header::CONTENT_TYPE, header::CONTENT_ENCODING];
    Content::of(headers::text(headers, &media_type), headers::text(headers, &coding))
}
