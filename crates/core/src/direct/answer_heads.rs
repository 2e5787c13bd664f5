//! The head of an answer: what delimits its body, or why the answer cannot be forwarded.
//! Input: the head, and whether the length of the body is known. It keeps no state.
//! Decides once for each answer, before anything of its body is read.
//!
//! HTTP libraries accept a transfer coding that they do not decode, and let the body end with its
//! connection (RFC 9112, section 6.3). Its bytes are not the content then, and the field concerns one
//! connection only, so whoever gets the body next does not learn of the coding.

use std::fmt;
use std::ops::Range;

use hooktrestle_schema::Framing;
use http::HeaderMap;
use http::HeaderName;
use http::HeaderValue;
use http::StatusCode;
use http::header;

/// Statuses of final answers (RFC 9110, section 15).
const FINAL_STATUSES: Range<u16> = 200..600;

/// Why an answer cannot be forwarded.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum HeadFault {
    /// A status that no final answer has: nobody asked the server to switch protocols, and the class of
    /// one above 599 is unknown.
    Status,
    /// Content behind a status that excludes it.
    UnexpectedContent,
    /// A transfer coding other than `chunked`, or more than one.
    TransferCoding,
    /// A length that is not one number.
    Length,
    /// A length beside a transfer coding: one of them is wrong.
    LengthBesideCoding,
}

impl fmt::Display for HeadFault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            HeadFault::Status => write!(f, "the status is none of a final answer"),
            HeadFault::UnexpectedContent => {
                write!(f, "the head announces content, which the status excludes")
            }
            HeadFault::TransferCoding => {
                write!(f, "the answer has a transfer coding other than chunked")
            }
            HeadFault::Length => write!(f, "the length of the answer is not one number"),
            HeadFault::LengthBesideCoding => {
                write!(f, "the answer has both a length and a transfer coding")
            }
        }
    }
}

impl std::error::Error for HeadFault {}

/// What delimits the body of an answer with this status and these headers. `is_length_known` tells that the
/// HTTP library knows the length of the body: from the head, or because there is no body.
///
/// # Errors
///
/// The head is malformed.
pub fn framing(
    status: StatusCode,
    headers: &HeaderMap,
    is_length_known: bool,
) -> Result<Framing, HeadFault> {
    if !FINAL_STATUSES.contains(&status.as_u16()) {
        return Err(HeadFault::Status);
    }
    let (is_chunked, length) = (is_chunked(headers)?, length(headers)?);
    if is_chunked && length.is_some() {
        return Err(HeadFault::LengthBesideCoding);
    }
    // Some servers send a length of zero with this status.
    if status == StatusCode::NO_CONTENT && (is_chunked || length.unwrap_or(0) > 0) {
        return Err(HeadFault::UnexpectedContent);
    }
    Ok(match (is_length_known, is_chunked) {
        (true, _) => Framing::Length,
        (false, true) => Framing::Chunks,
        (false, false) => Framing::Connection,
    })
}

fn is_chunked(headers: &HeaderMap) -> Result<bool, HeadFault> {
    match values(headers, &header::TRANSFER_ENCODING) {
        Values::None => Ok(false),
        Values::One(coding) if coding.as_bytes().trim_ascii().eq_ignore_ascii_case(b"chunked") => {
            Ok(true)
        }
        Values::One(_) | Values::Several => Err(HeadFault::TransferCoding),
    }
}

/// The length in the head, in bytes. A list of equal lengths, which would have to be replaced by one of
/// them (RFC 9110, section 8.6), is malformed.
fn length(headers: &HeaderMap) -> Result<Option<u64>, HeadFault> {
    match values(headers, &header::CONTENT_LENGTH) {
        Values::None => Ok(None),
        Values::One(length) => number(length).map(Some).ok_or(HeadFault::Length),
        Values::Several => Err(HeadFault::Length),
    }
}

/// A number of decimal digits without a sign.
fn number(value: &HeaderValue) -> Option<u64> {
    let text = value.to_str().ok()?;
    let has_only_digits = text.bytes().all(|byte| byte.is_ascii_digit());
    text.parse().ok().filter(|_| has_only_digits)
}

/// The values of a field, one for each of its lines.
enum Values<'a> {
    None,
    One(&'a HeaderValue),
    Several,
}

fn values<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Values<'a> {
    let mut values = headers.get_all(name).iter();
    match (values.next(), values.next()) {
        (None, _) => Values::None,
        (Some(value), None) => Values::One(value),
        (Some(_), Some(_)) => Values::Several,
    }
}
