use serde::{
    Deserialize,
    Serialize, //
};

/// The header of every packet. Items follow until the end of the packet.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub(crate) struct PacketHeader {
    /// Random number of the sender's process, which reveals a restart.
    #[serde(with = "postcard::fixint::le")]
    pub(crate) session: u16,
    /// The receiver's session as known to the sender; if it is outdated, the acknowledgements are
    /// ignored.
    #[serde(with = "postcard::fixint::le")]
    pub(crate) to_session: u16,
    /// Number of packets with updates sent to this receiver so far; zero if the packet needs no
    /// acknowledgement.
    pub(crate) sequence: u32,
    /// Whether the sender requests an immediate reply.
    pub(crate) urgent: bool,
    /// Sequence numbers received since the last packet to this receiver.
    pub(crate) acks: Vec<u32>,
    /// Root hash of the sender's digest.
    #[serde(with = "postcard::fixint::le")]
    pub(crate) root: u32,
}
