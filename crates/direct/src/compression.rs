//! Compression of bodies between a gateway and the sidecar of a backend server.
//! Input: a body, or a compressed body with a limit of its size. It has no state.
//! It rejects bodies that are malformed or too large after decompression.

use std::io::Read;
use std::io::Write;

use bytes::Bytes;
use flate2::Compression;
use flate2::read::ZlibDecoder;
use flate2::write::ZlibEncoder;

/// Value of the header `content-encoding` of a compressed body.
pub(crate) const ENCODING: &str = "deflate";

/// Size from which a body is compressed. A smaller one fits into one packet as it is.
pub(crate) const COMPRESS_FROM_BYTES: usize = 1_024;

/// Compresses a body. A map of 16 sets on 96 ranks has 17.9 kB as text and 6.6 kB compressed; at
/// the fastest level it has 7.6 kB.
pub(crate) fn compress(body: &[u8]) -> Bytes {
    let mut encoder = ZlibEncoder::new(Vec::new(), Compression::default());
    // Writes to a vector do not fail.
    let compressed = encoder.write_all(body).and_then(|()| encoder.finish());
    compressed.map(Bytes::from).unwrap_or_default()
}

/// Decompresses a body of at most `max_bytes` decompressed bytes.
///
/// # Errors
///
/// The input is not compressed in this format, or the body is larger.
pub(crate) fn decompress(compressed: &[u8], max_bytes: usize) -> eyre::Result<Bytes> {
    let mut body = Vec::new();
    ZlibDecoder::new(compressed).take(max_bytes as u64 + 1).read_to_end(&mut body)?;
    if body.len() > max_bytes {
        return Err(eyre::eyre!(
            "a compressed body has more than {max_bytes} bytes when decompressed"
        ));
    }
    Ok(Bytes::from(body))
}
