//! Bytes of messages and back; the transport bounds their size.

use serde::{
    Serialize,
    de::DeserializeOwned, //
};

/// The bytes of a message; empty, and logged, where a value has no encoding.
pub(crate) fn encode<M: Serialize>(message: &M) -> Vec<u8> {
    postcard::to_stdvec(message).unwrap_or_else(|error| {
        tracing::error!(%error, "a message has no encoding");
        Vec::new()
    })
}

/// The message in `bytes`, or nothing where a peer of another version sent it.
pub(crate) fn decode<M: DeserializeOwned>(bytes: &[u8]) -> Option<M> {
    match postcard::from_bytes(bytes) {
        Ok(message) => Some(message),
        Err(error) => {
            tracing::warn!(%error, "a peer's message cannot be read; upgrade the older node");
            None
        }
    }
}
