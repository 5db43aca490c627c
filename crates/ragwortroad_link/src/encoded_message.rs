use bytes::Bytes;
use snafu::ResultExt;

use crate::{
    LinkError,
    LinkMessage,
    link_error::{
        InvalidMessageSnafu,
        IoSnafu, //
    },
    pack_document,
    unpack_document, //
};

/// Bytes from which a message is compressed.
///
/// Records of endpoints repeat themselves: those of a thousand take a quarter, and after a common
/// restart each edge is told all of them. Of a handful little is gained.
const MIN_PACK_BYTES: usize = 600;

/// A message as it goes into a frame, for one receiver or several.
#[derive(Clone, Debug)]
pub struct EncodedMessage {
    /// The message's kind, for metrics.
    pub kind: &'static str,
    /// What goes into the frame.
    pub bytes: Bytes,
}

impl TryFrom<&LinkMessage> for EncodedMessage {
    type Error = LinkError;

    fn try_from(message: &LinkMessage) -> Result<Self, LinkError> {
        let kind = message.kind();
        let bytes = postcard::to_stdvec(message).context(InvalidMessageSnafu)?;
        if bytes.len() < MIN_PACK_BYTES || !is_compressible(message) {
            let bytes = bytes.into();
            return Ok(Self { kind, bytes });
        }
        let packed = pack_document(&bytes, None).context(IoSnafu)?;
        let packed = LinkMessage::Packed(packed);
        let packed = postcard::to_stdvec(&packed).context(InvalidMessageSnafu)?;
        // What is compressed already does not shrink.
        let bytes = match packed.len() < bytes.len() {
            true => packed.into(),
            false => bytes.into(),
        };
        Ok(Self { kind, bytes })
    }
}

/// Whether a message shrinks by compression.
///
/// Hashes do not. After a common restart a registry tells each edge thousands of places of texts while
/// the group elects a leader; compressed in vain, they would take the processor of a small VM.
fn is_compressible(message: &LinkMessage) -> bool {
    !matches!(
        message,
        LinkMessage::TextsPlaced(_)
            | LinkMessage::PartialPlaces(_)
            | LinkMessage::PlacesKnown(_)
            | LinkMessage::Loads(_)
            | LinkMessage::PartialLoads(_)
    )
}

/// The message in a frame.
pub fn decode_message(frame: &[u8]) -> Result<LinkMessage, LinkError> {
    match postcard::from_bytes(frame).context(InvalidMessageSnafu)? {
        LinkMessage::Packed(packed) => {
            let bytes = unpack_document(&packed, None).context(IoSnafu)?;
            postcard::from_bytes(&bytes).context(InvalidMessageSnafu)
        }
        message => Ok(message),
    }
}
