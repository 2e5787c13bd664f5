//! Guards against answers whose body cannot be read and that are forwarded, and against sound ones that
//! are not: by the fields that delimit the body.

use hooktrestle_core::direct::answer_heads;
use hooktrestle_core::direct::answer_heads::HeadFault;
use hooktrestle_schema::Framing;
use http::HeaderMap;
use http::HeaderName;
use http::HeaderValue;
use http::StatusCode;
use http::header::CONTENT_LENGTH;
use http::header::TRANSFER_ENCODING;

/// A head with these fields.
fn head(fields: &[(&HeaderName, &[u8])]) -> HeaderMap {
    let fields = fields.iter().map(|(name, value)| {
        ((*name).clone(), HeaderValue::from_bytes(value).expect("a field value"))
    });
    fields.fold(HeaderMap::new(), |mut headers, (name, value)| {
        headers.append(name, value);
        headers
    })
}

fn framing(headers: &HeaderMap, is_length_known: bool) -> Result<Framing, HeadFault> {
    answer_heads::framing(StatusCode::OK, headers, is_length_known)
}

fn with_codings(codings: &[&[u8]]) -> HeaderMap {
    head(&codings.iter().map(|coding| (&TRANSFER_ENCODING, *coding)).collect::<Vec<_>>())
}

#[test]
fn a_body_is_delimited_by_its_length_its_chunks_or_its_connection() {
    assert_eq!(framing(&head(&[]), true), Ok(Framing::Length));
    assert_eq!(framing(&head(&[]), false), Ok(Framing::Connection));
    for coding in ["chunked", "Chunked", "\tCHUNKED "] {
        assert_eq!(framing(&with_codings(&[coding.as_bytes()]), false), Ok(Framing::Chunks));
    }
    // Without a body, as in the answer to a request for the head alone.
    assert_eq!(framing(&with_codings(&[b"chunked"]), true), Ok(Framing::Length));
}

#[test]
fn a_transfer_coding_other_than_chunked_is_a_fault() {
    let codings: [&[u8]; 9] = [
        b"",
        b"gzip",
        b"identity",
        b"chunkex",
        b"chunk\xe9d",
        b"chunked;q=1",
        b"gzip, chunked",
        b"chunked, gzip",
        b"chunked, chunked",
    ];
    for coding in codings {
        for is_length_known in [false, true] {
            let found = framing(&with_codings(&[coding]), is_length_known);
            assert_eq!(found, Err(HeadFault::TransferCoding), "{coding:?}");
        }
    }
    for second in ["chunked", "gzip", ""] {
        let found = framing(&with_codings(&[b"chunked", second.as_bytes()]), false);
        assert_eq!(found, Err(HeadFault::TransferCoding), "{second:?}");
    }
}

#[test]
fn a_length_that_is_not_one_number_is_a_fault() {
    let lengths: [&[u8]; 9] =
        [b"", b"12x", b"-1", b"+2", b"0x2", b"2 2", b"2, 2", b"2, 3", b"18446744073709551616"];
    for length in lengths {
        for is_length_known in [false, true] {
            let found = framing(&head(&[(&CONTENT_LENGTH, length)]), is_length_known);
            assert_eq!(found, Err(HeadFault::Length), "{length:?}");
        }
    }
    let twice = head(&[(&CONTENT_LENGTH, b"2"), (&CONTENT_LENGTH, b"2")]);
    assert_eq!(framing(&twice, true), Err(HeadFault::Length));
    assert_eq!(framing(&head(&[(&CONTENT_LENGTH, b"007")]), true), Ok(Framing::Length));
}

#[test]
fn a_length_beside_chunks_is_a_fault() {
    for is_length_known in [false, true] {
        let both = head(&[(&CONTENT_LENGTH, b"2"), (&TRANSFER_ENCODING, b"chunked")]);
        assert_eq!(framing(&both, is_length_known), Err(HeadFault::LengthBesideCoding));
    }
    let spoilt = head(&[(&TRANSFER_ENCODING, b"chunked"), (&CONTENT_LENGTH, b"12x")]);
    assert_eq!(framing(&spoilt, false), Err(HeadFault::Length));
}

#[test]
fn a_status_that_no_final_answer_has_is_a_fault() {
    for (code, is_sound) in [(101, false), (199, false), (200, true), (599, true), (600, false)] {
        let status = StatusCode::from_u16(code).expect("a status");
        let found = answer_heads::framing(status, &head(&[]), false);
        let expected = if is_sound { Ok(Framing::Connection) } else { Err(HeadFault::Status) };
        assert_eq!(found, expected, "{code}");
    }
}

#[test]
fn content_behind_a_status_that_excludes_it_is_a_fault() {
    let of =
        |status, field: (&HeaderName, &[u8])| answer_heads::framing(status, &head(&[field]), true);
    let [empty, sized] = [b"0", b"9"].map(|length| (&CONTENT_LENGTH, length.as_slice()));
    let chunked = (&TRANSFER_ENCODING, b"chunked".as_slice());
    assert_eq!(of(StatusCode::NO_CONTENT, empty), Ok(Framing::Length));
    assert_eq!(of(StatusCode::NO_CONTENT, sized), Err(HeadFault::UnexpectedContent));
    assert_eq!(of(StatusCode::NO_CONTENT, chunked), Err(HeadFault::UnexpectedContent));
    // The fields are those of the answer with content that this status stands for.
    assert_eq!(of(StatusCode::NOT_MODIFIED, sized), Ok(Framing::Length));
    assert_eq!(of(StatusCode::NOT_MODIFIED, chunked), Ok(Framing::Length));
}
