use std::fmt;

use serde::{
    Deserialize,
    Deserializer,
    Serialize,
    Serializer,
    de::Error, //
};
use sha2::{
    Digest,
    Sha256, //
};

/// SHA-256 hash of a customer's or operator's API key. The key itself is never stored.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct KeyHash(pub [u8; 32]);

impl KeyHash {
    /// Hashes `key` as a client sends it.
    pub fn of_key(key: &str) -> Self {
        Self(Sha256::digest(key.as_bytes()).into())
    }

    /// Parses 64 hexadecimal digits in upper or lower case.
    pub fn from_hex(text: &str) -> Option<Self> {
        let bytes = data_encoding::HEXLOWER_PERMISSIVE
            .decode(text.as_bytes())
            .ok()?;
        Some(Self(bytes.try_into().ok()?))
    }
}

impl fmt::Display for KeyHash {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(&data_encoding::HEXLOWER.encode(&self.0))
    }
}

impl fmt::Debug for KeyHash {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "KeyHash({self})")
    }
}

impl Serialize for KeyHash {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        if serializer.is_human_readable() {
            serializer.collect_str(self)
        } else {
            self.0.serialize(serializer)
        }
    }
}

impl<'de> Deserialize<'de> for KeyHash {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        if !deserializer.is_human_readable() {
            return Ok(Self(<[u8; 32]>::deserialize(deserializer)?));
        }
        let text = String::deserialize(deserializer)?;
        Self::from_hex(&text).ok_or_else(|| D::Error::custom("a key hash has 64 hex digits"))
    }
}
