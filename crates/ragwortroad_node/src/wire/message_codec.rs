//! Encodes and decodes messages between nodes; the transport bounds their size.

use serde::{
    Serialize,
    de::DeserializeOwned, //
};

/// Encodes a message. A message that can't be encoded is logged and yields no bytes.
pub(crate) fn encode<M: Serialize>(message: &M) -> Vec<u8> {
    postcard::to_stdvec(message).unwrap_or_else(|error| {
        tracing::error!(%error, "cannot encode a message");
        Vec::new()
    })
}

/// Decodes a message; `None` if it can't be read, as from a peer of another version.
pub(crate) fn decode<M: DeserializeOwned>(bytes: &[u8]) -> Option<M> {
    match postcard::from_bytes(bytes) {
        Ok(message) => Some(message),
        Err(error) => {
            tracing::warn!(%error, "cannot decode a peer's message; upgrade the older node");
            None
        }
    }
}
