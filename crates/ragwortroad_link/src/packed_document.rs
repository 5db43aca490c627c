use std::io::{
    self,
    Read,
    Write, //
};

use zstd::stream::{
    read::Decoder,
    write::Encoder, //
};

/// Bytes of one document at most, unpacked; some ten thousand routes fit.
pub const MAX_DOCUMENT_BYTES: u64 = 16 << 20;

/// Effort of the compression: the fastest, since registries have little processor time.
const COMPRESSION_LEVEL: i32 = 1;

/// Least and greatest logarithm of the bytes that a match may reach back.
const WINDOW_LOG_RANGE: (u32, u32) = (17, 25);

/// A document compressed for the way between processes and for the log.
///
/// With `base`, a document that the receiver has, only what differs takes room. A configuration of
/// thousands of routes takes a small link a second for a few receivers, and heartbeats would wait
/// behind it until another leader is elected. Against the configuration before it, a change of one
/// route takes some dozen bytes (`tests/documents.rs` prints the sizes).
pub fn pack_document(document: &[u8], base: Option<&[u8]>) -> io::Result<Vec<u8>> {
    let base = base.unwrap_or_default();
    let match_range = (document.len() + base.len()).max(1);
    let (min_log, max_log) = WINDOW_LOG_RANGE;
    let window_log = (match_range.ilog2() + 1).clamp(min_log, max_log);
    let mut encoder = Encoder::with_ref_prefix(Vec::new(), COMPRESSION_LEVEL, base)?;
    encoder.window_log(window_log)?;
    // Finds what stands far back, which the tables of the fastest effort forget.
    encoder.long_distance_matching(!base.is_empty())?;
    encoder.include_contentsize(false)?;
    encoder.write_all(document)?;
    encoder.finish()
}

/// The document that was packed, with the same base.
pub fn unpack_document(packed: &[u8], base: Option<&[u8]>) -> io::Result<Vec<u8>> {
    let base = base.unwrap_or_default();
    let decoder = Decoder::with_ref_prefix(packed, base)?;
    let mut document = Vec::new();
    let read_bytes = decoder
        .take(MAX_DOCUMENT_BYTES + 1)
        .read_to_end(&mut document)?;
    if read_bytes as u64 > MAX_DOCUMENT_BYTES {
        return Err(io::Error::other(
            "the document is larger than any that is accepted",
        ));
    }
    Ok(document)
}
