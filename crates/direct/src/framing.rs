//! What delimits the body of an answer: its length, its last chunk or the end of its connection.
//! Input: the head and the body of an answer as received. It keeps no state.
//! Decides whether the end of the body shows by itself that the body is complete.
//!
//! A connection that breaks may end in the same way as one that is closed, so a body that only its
//! connection delimits looks complete wherever it was truncated (RFC 9112, section 8).

use hooktrestle_schema::Framing;
use http::HeaderMap;
use http::header;
use hyper::body::Body;

/// The framing of an answer with these headers.
pub fn of<B: Body>(headers: &HeaderMap, body: &B) -> Framing {
    // Also of an answer that has no body because of its status.
    if body.size_hint().exact().is_some() {
        return Framing::Length;
    }
    let codings = headers.get_all(header::TRANSFER_ENCODING).iter().next_back();
    let last = codings.and_then(|value| value.to_str().ok()?.rsplit(',').next());
    match last.map(str::trim) {
        Some(coding) if coding.eq_ignore_ascii_case("chunked") => Framing::Chunks,
        _ => Framing::Connection,
    }
}
