use std::io::{
    self,
    Read,
    Write, //
};

use flate2::{
    Compression,
    read::DeflateDecoder,
    write::DeflateEncoder, //
};

/// Bytes of one document at most, unpacked; some ten thousand routes fit.
pub const MAX_DOCUMENT_BYTES: u64 = 16 << 20;

/// A document compressed for the way between processes and for the log.
///
/// A configuration of some hundred routes has a hundred kilobytes that mostly repeat themselves;
/// at 6 Mbit/s it would keep a registry's link busy for a second with each change and ten
/// receivers. Compressed it takes about a tenth.
pub fn pack_document(bytes: &[u8]) -> io::Result<Vec<u8>> {
    let mut encoder = DeflateEncoder::new(Vec::new(), Compression::fast());
    encoder.write_all(bytes)?;
    encoder.finish()
}

/// The document that was packed.
pub fn unpack_document(packed: &[u8]) -> io::Result<Vec<u8>> {
    let mut bytes = Vec::new();
    let decoder = DeflateDecoder::new(packed);
    let mut bounded = decoder.take(MAX_DOCUMENT_BYTES);
    bounded.read_to_end(&mut bytes)?;
    Ok(bytes)
}
