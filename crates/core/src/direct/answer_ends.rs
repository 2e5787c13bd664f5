//! The end of an answer: complete, truncated, or not to be told from its bytes.
//! Input: what delimits the body, and where in a stream of events it ended. It keeps no state.
//! Decides whether the answer is complete, or whether its server has to be asked.
//!
//! An answer without length or chunks ends with its connection. Such unframed answers need care: a
//! server that crashes closes its connections like one that has sent all, so the body looks complete
//! wherever it was truncated (RFC 9112, section 8). A stream of events that ends inside an event is
//! truncated however its body is framed.

use hooktrestle_schema::Framing;

use crate::direct::events::Position;

/// What the end of an answer shows.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AnswerEnd {
    /// The answer is complete.
    Complete,
    /// The answer is truncated.
    Truncated,
    /// The answer is complete unless its server crashed just then.
    Unconfirmed,
}

/// What is known of the content of an answer on a route for streams.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Content {
    /// A stream of events, as its media type says.
    Events,
    /// The answer names no media type; usually it is a stream of events.
    Unnamed,
    /// Something else, or a stream of events with a content coding: events cannot be told apart.
    Opaque,
}

impl Content {
    /// The content of an answer with this media type and content coding.
    pub fn of(media_type: Option<&str>, coding: Option<&str>) -> Content {
        let is_coded = coding.is_some_and(|coding| !coding.trim().eq_ignore_ascii_case("identity"));
        let media_type = media_type.map(|text| text.split(';').next().unwrap_or_default().trim());
        match media_type {
            _ if is_coded => Content::Opaque,
            None => Content::Unnamed,
            Some(name) if name.eq_ignore_ascii_case(EVENT_STREAM) => Content::Events,
            Some(_) => Content::Opaque,
        }
    }
}

/// Media type of a stream of events.
const EVENT_STREAM: &str = "text/event-stream";

/// What the end of a body shows that is no stream of events.
pub fn of_body(framing: Framing) -> AnswerEnd {
    match framing {
        Framing::Length | Framing::Chunks => AnswerEnd::Complete,
        Framing::Connection => AnswerEnd::Unconfirmed,
    }
}

/// What the end of an answer on a route for streams shows, at this position of the stream.
pub fn of_stream(framing: Framing, content: Content, position: Position) -> AnswerEnd {
    match (framing, content, position) {
        (_, Content::Opaque, _) => of_body(framing),
        (_, Content::Events, Position::InsideEvent) => AnswerEnd::Truncated,
        // A server sends the head as it begins; without an event, it crashed just then.
        (Framing::Connection, _, Position::InsideEvent | Position::BeforeFirstEvent) => {
            AnswerEnd::Truncated
        }
        (framing, ..) => of_body(framing),
    }
}
