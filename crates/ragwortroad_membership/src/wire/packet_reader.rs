use snafu::ResultExt;

use crate::wire::{
    packet_header::PacketHeader,
    wire_error::{
        MalformedSnafu,
        WireError, //
    },
    wire_item::WireItem, //
};

#[derive(Debug)]
pub(crate) struct DecodedPacket {
    pub(crate) header: PacketHeader,
    pub(crate) items: Vec<WireItem>,
}

/// Decodes a whole packet. A malformed item invalidates the items before it as well.
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

/// Encodes one part of a packet. Returns nothing if encoding fails, which does not happen for any
/// of the protocol's types.
pub(crate) fn encode<T: serde::Serialize>(part: &T) -> Vec<u8> {
    postcard::to_stdvec(part).unwrap_or_default()
}
