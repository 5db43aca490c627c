/// Escapes the characters of `text` that have a meaning in HTML.
///
/// Names of customers and endpoints are untrusted: unescaped, a name could run a script in the page
/// that an operator opens.
pub(crate) fn escape_html(text: &str) -> String {
    let mut safe = String::with_capacity(text.len());
    for character in text.chars() {
        match character {
            '&' => safe.push_str("&amp;"),
            '<' => safe.push_str("&lt;"),
            '>' => safe.push_str("&gt;"),
            '"' => safe.push_str("&quot;"),
            '\'' => safe.push_str("&#39;"),
            _ => safe.push(character),
        }
    }
    safe
}
