//! Limits the doc comments of tests.
//!
//! A test opens with a few plain lines that say which failure it guards against and how the failure
//! comes about. A longer explanation belongs in the commit message.

use syn::{
    Attribute,
    Item,
    ItemFn, //
};

/// The most doc lines that a test may have.
pub(crate) const MAX_TEST_DOC_LINES: usize = 3;

/// Returns the names of the tests in a source file that have more than [`MAX_TEST_DOC_LINES`] doc
/// lines.
pub(crate) fn long_test_docs(text: &str) -> syn::Result<Vec<String>> {
    let file = syn::parse_file(text)?;
    Ok(long_docs_in(&file.items))
}

fn long_docs_in(items: &[Item]) -> Vec<String> {
    let mut found = Vec::new();
    for item in items {
        match item {
            Item::Fn(function) if has_long_docs(function) => {
                found.push(function.sig.ident.to_string());
            }
            Item::Mod(module) => {
                let inner = module.content.as_ref().map(|(_, items)| items.as_slice());
                found.extend(long_docs_in(inner.unwrap_or_default()));
            }
            _ => {}
        }
    }
    found
}

fn has_long_docs(function: &ItemFn) -> bool {
    let has = |attribute: &&Attribute, name: &str| {
        let last = attribute.path().segments.last();
        last.is_some_and(|segment| segment.ident == name)
    };
    let attributes = || function.attrs.iter();
    let is_test = attributes().any(|attribute| has(&attribute, "test"));
    is_test
        && attributes()
            .filter(|attribute| has(attribute, "doc"))
            .count()
            > MAX_TEST_DOC_LINES
}
