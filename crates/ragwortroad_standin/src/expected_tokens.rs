use ragwortroad_types::prelude::*;

/// Tokens in an answer whose request names no limit, at least.
const MIN_DEFAULT_TOKENS: u64 = 16;

/// Bytes of prompt text that count as one token.
pub(crate) const BYTES_PER_TOKEN: usize = 4;

/// The answer that every stand-in engine gives to `chat`, token by token.
///
/// It depends on the model and the messages and on nothing else, so a caller can tell whether an
/// answer is whole and its own.
pub fn expected_tokens(chat: &ChatBody) -> Vec<String> {
    let seed = xxhash_rust::xxh3::xxh3_64(chat.model.as_bytes());
    let start = xxhash_rust::xxh3::xxh3_64_with_seed(&chat.prompt_text(), seed);
    let count = match chat.max_tokens {
        Some(limit) => u64::from(limit),
        None => MIN_DEFAULT_TOKENS + start % MIN_DEFAULT_TOKENS,
    };
    (0..count).map(|at| token_text(start, at)).collect()
}

fn token_text(start: u64, at: u64) -> String {
    let word = xxhash_rust::xxh3::xxh3_64_with_seed(&at.to_le_bytes(), start);
    format!("{:04x} ", word & 0xffff)
}
