use ragwortroad_types::prelude::*;

/// An endpoint's announcement, with the credential that allows it to join.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AnnounceCall {
    /// SHA-256 of the join secret that the endpoint sent.
    pub secret_hash: [u8; 32],
    /// The announcement as received.
    pub announce: AnnounceWire,
}
