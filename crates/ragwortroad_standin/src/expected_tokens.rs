use ragwortroad_types::prelude::*;

/// Minimum number of tokens in the response to a request without `max_tokens`.
const MIN_DEFAULT_TOKENS: u64 = 16;

/// Prompt bytes that count as one token.
pub(crate) const BYTES_PER_TOKEN: usize = 4;

/// Returns the response of every stand-in engine to `chat`, token by token.
///
/// It depends only on the model, the messages and the token limit, so a client can check that a
/// response is complete and its own.
pub fn expected_tokens(chat: &ChatBody) -> Vec<String> {
    let seed = xxhash_rust::xxh3::xxh3_64(chat.model.as_bytes());
    let hash = xxhash_rust::xxh3::xxh3_64_with_seed(&chat.prompt_text(), seed);
    let count = match chat.max_tokens {
        Some(limit) => u64::from(limit),
        None => MIN_DEFAULT_TOKENS + hash % MIN_DEFAULT_TOKENS,
    };
    (0..count).map(|index| token_text(hash, index)).collect()
}

fn token_text(hash: u64, index: u64) -> String {
    let token_hash = xxhash_rust::xxh3::xxh3_64_with_seed(&index.to_le_bytes(), hash);
    format!("{:04x} ", token_hash & 0xffff)
}
