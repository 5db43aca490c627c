use std::fmt;

use serde::{
    Deserialize,
    Serialize, //
};

/// A chat of one customer, as a hash over both names.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct ChatKey(pub u64);

impl ChatKey {
    /// The key of `chat` of `customer`.
    ///
    /// The customer's name is hashed first and seeds the second hash, so that no choice of chat
    /// name reaches a chat of another customer.
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
