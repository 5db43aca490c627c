use ragwortroad_dispatch::prelude::*;
use ragwortroad_link::prelude::*;
use serde::{
    Deserialize,
    Serialize, //
};

/// The replicated state as a whole, as it is written to disk and sent to members that are behind.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct RegisterSnapshot {
    /// The configuration in force, packed whole.
    pub config: Option<ConfigDelta>,
    /// Failure domains that are drained.
    pub drains: DomainDrains,
}

impl RegisterSnapshot {
    /// Reads what [`RegisterSnapshot::encode`] or a release without drains has written.
    ///
    /// # Errors
    ///
    /// The bytes are neither.
    pub fn decode(bytes: &[u8]) -> Result<Self, postcard::Error> {
        let whole = postcard::from_bytes::<Self>(bytes);
        whole.or_else(|error| match postcard::from_bytes(bytes) {
            Ok(config) => Ok(Self {
                config,
                ..Self::default()
            }),
            Err(_) => Err(error),
        })
    }

    /// The snapshot's bytes.
    ///
    /// # Errors
    ///
    /// None for this type, by the codec's account.
    pub fn encode(&self) -> Result<Vec<u8>, postcard::Error> {
        postcard::to_stdvec(self)
    }
}
