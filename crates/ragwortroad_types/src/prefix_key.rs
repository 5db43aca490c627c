use std::fmt;

use serde::{
    Deserialize,
    Serialize, //
};

/// Identifies a prompt prefix by a hash chain over its blocks, up to the end of one block.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct PrefixKey(pub u64);

impl fmt::Display for PrefixKey {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:016x}", self.0)
    }
}

/// Bytes of prompt text in one block of a prefix chain.
pub const PREFIX_BLOCK_BYTES: usize = 512;

/// Returns the prefix keys of `prompt`, one for each complete block of [`PREFIX_BLOCK_BYTES`],
/// shortest prefix first.
///
/// The chain is seeded with the customer and the model, so equal text of two customers never shares
/// a key, nor does one customer's text under two models.
pub fn prefix_chain(customer: &str, model: &str, prompt: &[u8]) -> Vec<PrefixKey> {
    let start = xxhash_rust::xxh3::xxh3_64(customer.as_bytes());
    let mut link = xxhash_rust::xxh3::xxh3_64_with_seed(model.as_bytes(), start);
    let mut chain = Vec::with_capacity(prompt.len() / PREFIX_BLOCK_BYTES);
    for block in prompt.chunks_exact(PREFIX_BLOCK_BYTES) {
        link = xxhash_rust::xxh3::xxh3_64_with_seed(block, link);
        chain.push(PrefixKey(link));
    }
    chain
}
