//! Codec of link messages: a frame in CBOR, followed by the raw bytes of the payload.
//! Input: a frame and its payload, or the bytes of a message. It has no state.
//! Decides whether received bytes begin with a valid frame.
//!
//! The payload is not part of the CBOR value, so body bytes are not encoded, and decoding does not
//! copy them.

use bytes::Buf;
use bytes::BufMut;
use bytes::Bytes;
use bytes::BytesMut;
use hooktrestle_schema::Frame;

use crate::error::Error;
use crate::error::ErrorKind;

/// Maximum nesting that is decoded. Frames have four levels.
const DEPTH_LIMIT: usize = 16;

/// Capacity reserved for a frame without its payload.
const FRAME_CAPACITY_BYTES: usize = 256;

/// Encodes a message.
///
/// # Panics
///
/// Never: every frame is representable in CBOR, and writing to memory does not fail.
pub fn encode(frame: &Frame, payload: &[u8]) -> Bytes {
    let mut writer = BytesMut::with_capacity(FRAME_CAPACITY_BYTES + payload.len()).writer();
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
