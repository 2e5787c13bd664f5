//! One message: a frame in CBOR, then the payload's bytes as they are.
//!
//! The payload is not part of the CBOR value, so that body bytes are neither copied nor encoded.

use bytes::Buf;
use bytes::BufMut;
use bytes::Bytes;
use bytes::BytesMut;
use hooktrestle_schema::Frame;

use crate::error::Error;
use crate::error::ErrorKind;

/// Deepest nesting that is read; frames nest four deep.
const DEPTH_LIMIT: usize = 16;

/// Room for a frame without its payload.
const FRAME_ROOM_BYTES: usize = 256;

/// Encodes a message.
///
/// # Panics
///
/// Never: a frame is always representable, and memory does not fail to be written.
pub fn encode(frame: &Frame, payload: &[u8]) -> Bytes {
    let mut writer = BytesMut::with_capacity(FRAME_ROOM_BYTES + payload.len()).writer();
    ciborium::into_writer(frame, &mut writer).expect("a frame is representable in CBOR");
    let mut message = writer.into_inner();
    message.extend_from_slice(payload);
    message.freeze()
}

/// Decodes a message; the payload shares the message's memory.
///
/// # Errors
///
/// The message does not begin with a frame.
pub fn decode(message: Bytes) -> Result<(Frame, Bytes), Error> {
    let mut reader = message.clone().reader();
    let frame = ciborium::de::from_reader_with_recursion_limit(&mut reader, DEPTH_LIMIT)
        .map_err(|error| Error::new(ErrorKind::Malformed(error.to_string())))?;
    Ok((frame, reader.into_inner()))
}
