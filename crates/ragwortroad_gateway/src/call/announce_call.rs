use ragwortroad_types::prelude::*;

/// An endpoint's announcement with the proof that it may join.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AnnounceCall {
    /// SHA-256 of the join secret the endpoint sent.
    pub secret_hash: [u8; 32],
    /// The announcement.
    pub announce: AnnounceWire,
}
