use serde::{
    Deserialize,
    Serialize, //
};

/// What every packet opens with; items follow until its end.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub(crate) struct PacketHeader {
    /// Drawn at random by the sender's process, so that a restart is noticed.
    #[serde(with = "postcard::fixint::le")]
    pub(crate) session: u16,
    /// The receiver's session as the sender knows it; acknowledgements are void for another.
    #[serde(with = "postcard::fixint::le")]
    pub(crate) to_session: u16,
    /// Counts packets with news to this receiver; zero for a packet that needs no acknowledgement.
    pub(crate) sequence: u32,
    /// Whether the sender wants an answer at once.
    pub(crate) urgent: bool,
    /// Sequences received since the last packet to this receiver.
    pub(crate) acks: Vec<u32>,
    /// The root of the sender's digest.
    #[serde(with = "postcard::fixint::le")]
    pub(crate) root: u32,
}
