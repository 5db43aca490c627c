//! Access to the query of a URI.

/// The first value of `name` in `query`, percent-decoded.
///
/// A value that is not UTF-8 after decoding counts as absent.
pub(crate) fn query_value(query: &str, name: &str) -> Option<String> {
    let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    let (_, value) = pairs.find(|(key, _)| *key == name)?;
    String::from_utf8(percent_decode(value)).ok()
}

fn percent_decode(value: &str) -> Vec<u8> {
    let bytes = value.as_bytes();
    let mut decoded = Vec::with_capacity(bytes.len());
    let mut position = 0;
    while position < bytes.len() {
        let escaped = value
            .get(position + 1..position + 3)
            .and_then(|digits| u8::from_str_radix(digits, 16).ok());
        match (bytes[position], escaped) {
            (b'%', Some(byte)) => {
                decoded.push(byte);
                position += 3;
            }
            (b'+', _) => {
                decoded.push(b' ');
                position += 1;
            }
            (byte, _) => {
                decoded.push(byte);
                position += 1;
            }
        }
    }
    decoded
}
