use snafu::ResultExt;

use crate::wire::{
    packet_header::PacketHeader,
    wire_error::{
        MalformedSnafu,
        WireError, //
    },
    wire_item::WireItem, //
};

/// A packet, decoded.
#[derive(Debug)]
pub(crate) struct DecodedPacket {
    /// Its head.
    pub(crate) header: PacketHeader,
    /// Its items.
    pub(crate) items: Vec<WireItem>,
}

/// Decodes a packet as a whole: a malformed item voids what stands before it too.
pub(crate) fn read_packet(bytes: &[u8]) -> Result<DecodedPacket, WireError> {
    let (header, mut rest) = postcard::take_from_bytes(bytes).context(MalformedSnafu)?;
    let mut items = Vec::new();
    while !rest.is_empty() {
        let (item, after) = postcard::take_from_bytes(rest).context(MalformedSnafu)?;
        items.push(item);
        rest = after;
    }
    Ok(DecodedPacket { header, items })
}

/// Encodes one part of a packet; nothing where the codec refuses, which it does for none of ours.
pub(crate) fn encode<T: serde::Serialize>(part: &T) -> Vec<u8> {
    postcard::to_stdvec(part).unwrap_or_default()
}
