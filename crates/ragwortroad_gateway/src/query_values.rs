//! Values in a URI's query.

/// The first value of `name` in `query`, with percent escapes resolved.
///
/// A value whose escapes are not UTF-8 counts as absent.
pub(crate) fn query_value(query: &str, name: &str) -> Option<String> {
    let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    let (_, value) = pairs.find(|(key, _)| *key == name)?;
    String::from_utf8(unescape(value)).ok()
}

fn unescape(value: &str) -> Vec<u8> {
    let bytes = value.as_bytes();
    let mut text = Vec::with_capacity(bytes.len());
    let mut at = 0;
    while at < bytes.len() {
        let escaped = value
            .get(at + 1..at + 3)
            .and_then(|digits| u8::from_str_radix(digits, 16).ok());
        match (bytes[at], escaped) {
            (b'%', Some(byte)) => {
                text.push(byte);
                at += 3;
            }
            (b'+', _) => {
                text.push(b' ');
                at += 1;
            }
            (byte, _) => {
                text.push(byte);
                at += 1;
            }
        }
    }
    text
}
