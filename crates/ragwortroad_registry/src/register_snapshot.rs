use ragwortroad_dispatch::prelude::*;
use ragwortroad_link::prelude::*;
use serde::{
    Deserialize,
    Serialize, //
};

/// A snapshot of the replicated state, as stored on disk and sent to members that have fallen
/// behind.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct RegisterSnapshot {
    /// The full configuration in force; absent before the first configuration.
    pub config: Option<ConfigDelta>,
    /// Drained failure domains.
    pub drains: DomainDrains,
}

impl RegisterSnapshot {
    /// Decodes a snapshot written by [`RegisterSnapshot::encode`], or by a release without drains.
    ///
    /// # Errors
    ///
    /// The bytes are in neither format.
    pub fn decode(bytes: &[u8]) -> Result<Self, postcard::Error> {
        let snapshot = postcard::from_bytes::<Self>(bytes);
        snapshot.or_else(|error| match postcard::from_bytes(bytes) {
            Ok(config) => Ok(Self {
                config,
                ..Self::default()
            }),
            Err(_) => Err(error),
        })
    }

    /// Encodes the snapshot for disk or for transfer to another member.
    ///
    /// # Errors
    ///
    /// Passed through from the codec, which has no failure case for this type.
    pub fn encode(&self) -> Result<Vec<u8>, postcard::Error> {
        postcard::to_stdvec(self)
    }
}
