//! Guards against truncated answers that count as complete, and complete ones that count as
//! truncated: by what delimits their body, and by where in a stream of events it ended.

use hooktrestle_core::direct::answer_ends::AnswerEnd;
use hooktrestle_core::direct::answer_ends::Content;
use hooktrestle_core::direct::answer_ends::of_body;
use hooktrestle_core::direct::answer_ends::of_stream;
use hooktrestle_core::direct::events::EventBuffer;
use hooktrestle_core::direct::events::Position;
use hooktrestle_schema::Framing;

#[test]
fn the_end_of_a_body_is_confirmed_by_its_length_or_last_chunk_only() {
    assert_eq!(of_body(Framing::Length), AnswerEnd::Complete);
    assert_eq!(of_body(Framing::Chunks), AnswerEnd::Complete);
    assert_eq!(of_body(Framing::Connection), AnswerEnd::Unconfirmed);
}

#[test]
fn a_stream_that_ends_inside_an_event_is_truncated() {
    let cases = [
        (Framing::Chunks, Position::InsideEvent, AnswerEnd::Truncated),
        (Framing::Chunks, Position::BeforeFirstEvent, AnswerEnd::Complete),
        (Framing::Chunks, Position::BetweenEvents, AnswerEnd::Complete),
        (Framing::Connection, Position::InsideEvent, AnswerEnd::Truncated),
        (Framing::Connection, Position::BeforeFirstEvent, AnswerEnd::Truncated),
        (Framing::Connection, Position::BetweenEvents, AnswerEnd::Unconfirmed),
    ];
    for (framing, position, end) in cases {
        assert_eq!(of_stream(framing, Content::Events, position), end, "{framing} {position:?}");
    }
}

#[test]
fn content_without_events_ends_as_its_framing_says() {
    let [inside, first] = [Position::InsideEvent, Position::BeforeFirstEvent];
    assert_eq!(of_stream(Framing::Length, Content::Unnamed, inside), AnswerEnd::Complete);
    assert_eq!(of_stream(Framing::Connection, Content::Unnamed, inside), AnswerEnd::Truncated);
    assert_eq!(of_stream(Framing::Chunks, Content::Opaque, first), AnswerEnd::Complete);
    assert_eq!(of_stream(Framing::Connection, Content::Opaque, inside), AnswerEnd::Unconfirmed);
}

#[test]
fn content_is_known_by_its_media_type_and_content_coding() {
    assert_eq!(Content::of(Some("Text/Event-Stream; charset=utf-8"), None), Content::Events);
    assert_eq!(Content::of(Some("text/event-stream"), Some("identity")), Content::Events);
    assert_eq!(Content::of(Some("text/event-stream"), Some("gzip")), Content::Opaque);
    assert_eq!(Content::of(Some("application/json"), None), Content::Opaque);
    assert_eq!(Content::of(None, None), Content::Unnamed);
}

/// Lines end with a line feed, a carriage return or both, however the stream is split.
#[test]
fn events_are_complete_at_each_kind_of_blank_line() {
    for line_end in ["\n", "\r", "\r\n"] {
        let text = format!("id: 1{line_end}data: x{line_end}{line_end}");
        for split in 1..text.len() {
            let mut events = EventBuffer::default();
            let mut forwarded = events.push(&text.as_bytes()[..split]);
            forwarded.extend(events.push(&text.as_bytes()[split..]));
            assert_eq!(forwarded, text.as_bytes(), "{line_end:?} {split}");
            assert_eq!((events.last_id(), events.position()), (Some(1), Position::BetweenEvents));
        }
        let mut events = EventBuffer::default();
        assert_eq!(events.position(), Position::BeforeFirstEvent);
        events.push(&text.as_bytes()[..text.len() - line_end.len()]);
        assert_eq!(events.position(), Position::InsideEvent, "{line_end:?}");
    }
}
