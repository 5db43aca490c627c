use std::fmt;

use serde::{
    Deserialize,
    Serialize, //
};

/// Identifies a chat of a customer by a hash over both names.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct ChatKey(pub u64);

impl ChatKey {
    /// Returns the key of a chat of `customer`.
    ///
    /// The hash of the customer's name seeds the hash of the chat's, so that no choice of chat name
    /// can produce the key of another customer's chat.
    pub fn from_parts(customer: &str, chat: &str) -> Self {
        let seed = xxhash_rust::xxh3::xxh3_64(customer.as_bytes());
        Self(xxhash_rust::xxh3::xxh3_64_with_seed(chat.as_bytes(), seed))
    }
}

impl fmt::Display for ChatKey {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:016x}", self.0)
    }
}
