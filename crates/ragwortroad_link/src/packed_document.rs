use std::io::{
    self,
    Read,
    Write, //
};

use zstd::stream::{
    read::Decoder,
    write::Encoder, //
};

/// Maximum size of a decompressed document, in bytes; several ten thousand routes fit.
pub const MAX_DOCUMENT_BYTES: u64 = 16 << 20;

/// Fastest zstd level, since registries have little CPU time.
const COMPRESSION_LEVEL: i32 = 1;

/// Minimum and maximum base-2 logarithm of the zstd window size in bytes.
const WINDOW_LOG_RANGE: (u32, u32) = (17, 25);

/// Compresses a document for transfer between processes and for the log.
///
/// With `base`, a document that the receiver already has, only the differences take space. A full
/// configuration of thousands of routes occupies a slow link for a second with just a few
/// receivers, and heartbeats queue behind it until another leader is elected. Relative to the
/// previous configuration, a change of one route takes a few dozen bytes (`tests/documents.rs`
/// prints the sizes).
pub fn pack_document(document: &[u8], base: Option<&[u8]>) -> io::Result<Vec<u8>> {
    let base = base.unwrap_or_default();
    let match_range = (document.len() + base.len()).max(1);
    let (min_log, max_log) = WINDOW_LOG_RANGE;
    let window_log = (match_range.ilog2() + 1).clamp(min_log, max_log);
    let mut encoder = Encoder::with_ref_prefix(Vec::new(), COMPRESSION_LEVEL, base)?;
    encoder.window_log(window_log)?;
    // Finds distant matches, which the small hash tables of the fastest level miss.
    encoder.long_distance_matching(!base.is_empty())?;
    encoder.include_contentsize(false)?;
    encoder.write_all(document)?;
    encoder.finish()
}

/// Decompresses a document, given the same base it was compressed with.
///
/// Fails if the data is corrupt, the base differs, or the document exceeds [`MAX_DOCUMENT_BYTES`].
pub fn unpack_document(packed: &[u8], base: Option<&[u8]>) -> io::Result<Vec<u8>> {
    let base = base.unwrap_or_default();
    let decoder = Decoder::with_ref_prefix(packed, base)?;
    let mut document = Vec::new();
    let read_bytes = decoder
        .take(MAX_DOCUMENT_BYTES + 1)
        .read_to_end(&mut document)?;
    if read_bytes as u64 > MAX_DOCUMENT_BYTES {
        return Err(io::Error::other("the document exceeds the size limit"));
    }
    Ok(document)
}
