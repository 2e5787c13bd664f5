//! Whether the body of an answer is a stream of events.
//! Input: the head of an answer as received. It keeps no state.
//! Decides whether the gateway can tell the events of the body apart.

use hooktrestle_core::direct::answer_ends::Content;
use http::HeaderMap;
use http::header;

use crate::headers;

/// What is known of the content of an answer with these headers, on a route for streams.
pub fn of(headers: &HeaderMap) -> Content {
    let [media_type, coding] = [header::CONTENT_TYPE, header::CONTENT_ENCODING];
    Content::of(headers::text(headers, &media_type), headers::text(headers, &coding))
}
