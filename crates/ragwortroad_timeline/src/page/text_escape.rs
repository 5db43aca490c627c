/// `text` with everything replaced that means something in a page.
///
/// Names of customers and endpoints come from outside; as they are, one could put a script into
/// the page that an operator opens.
pub(crate) fn escape_html(text: &str) -> String {
    let mut safe = String::with_capacity(text.len());
    for letter in text.chars() {
        match letter {
            '&' => safe.push_str("&amp;"),
            '<' => safe.push_str("&lt;"),
            '>' => safe.push_str("&gt;"),
            '"' => safe.push_str("&quot;"),
            '\'' => safe.push_str("&#39;"),
            _ => safe.push(letter),
        }
    }
    safe
}
