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

/// Size from which messages are compressed, in bytes.
///
/// Endpoint records are repetitive: a thousand of them compress to a quarter, and after a restart
/// of the whole fleet each edge receives all of them. A handful of records gains little.
const MIN_PACK_BYTES: usize = 600;

/// A message encoded for a frame, to be sent to one or more receivers.
#[derive(Clone, Debug)]
pub struct EncodedMessage {
    /// Kind of the message, used as a metric label.
    pub kind: &'static str,
    /// Payload of the frame.
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
        // Data that is already compressed does not shrink further.
        let bytes = match packed.len() < bytes.len() {
            true => packed.into(),
            false => bytes.into(),
        };
        Ok(Self { kind, bytes })
    }
}

/// Whether compression makes the message smaller.
///
/// Hashes are incompressible. After a restart of the whole fleet a registry sends thousands of
/// prefix locations to each edge while the group elects a leader; trying to compress them would use
/// up the CPU of a small VM.
fn is_compressible(message: &LinkMessage) -> bool {
    !matches!(
        message,
        LinkMessage::TextsPlaced(_)
            | LinkMessage::PartialPlaces(_)
            | LinkMessage::PlacesKnown(_)
            | LinkMessage::Loads(_)
            | LinkMessage::PartialLoads(_)
            | LinkMessage::LoadsWithFigures { .. }
            | LinkMessage::PartialLoadsWithFigures { .. }
    )
}

/// Decodes the message of a frame, decompressing it if needed.
pub fn decode_message(frame: &[u8]) -> Result<LinkMessage, LinkError> {
    match postcard::from_bytes(frame).context(InvalidMessageSnafu)? {
        LinkMessage::Packed(packed) => {
            let bytes = unpack_document(&packed, None).context(IoSnafu)?;
            postcard::from_bytes(&bytes).context(InvalidMessageSnafu)
        }
        message => Ok(message),
    }
}
