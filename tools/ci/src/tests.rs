use std::{
    collections::BTreeMap,
    fs,
    path::Path, //
};

use crate::{
    import_cycles::find_cycles,
    platform_words::{
        find_in_sources,
        find_in_text,
        read_words, //
    },
    test_docs::long_test_docs, //
};

/// Guards against a check that misses a platform header read outside the adapter because its case
/// differs from that in the list.
#[test]
fn a_word_outside_the_adapter_is_found() {
    let words = read_words("# a comment\n\nX-Made-Up\n");
    assert_eq!(words, ["X-Made-Up"]);
    let text = "fn is_run(headers: &HeaderMap) {\n    headers.get(\"x-made-up\");\n}\n";
    let found = find_in_text(Path::new("crates/edge.rs"), text, &words);
    assert_eq!((found.len(), found[0].line), (1, 2));
}

#[test]
fn only_sources_outside_the_exempt_folders_are_searched() {
    let root = std::env::temp_dir().join(format!("platform-words-{}", std::process::id()));
    for folder in ["platform/src", "crates/edge/src"] {
        fs::create_dir_all(root.join(folder)).expect("the folder is created");
        fs::write(root.join(folder).join("lib.rs"), "// X-Made-Up\n").expect("the file is written");
    }
    fs::write(root.join("notes.md"), "X-Made-Up").expect("the file is written");
    let found =
        find_in_sources(&root, &["X-Made-Up".to_owned()]).expect("the sources are readable");
    fs::remove_dir_all(&root).expect("the folder is removed");
    let paths: Vec<_> = found
        .iter()
        .map(|misplaced| misplaced.path.clone())
        .collect();
    assert_eq!(paths, [root.join("crates/edge/src/lib.rs")]);
}

fn sources(texts: &[(&str, &str)]) -> BTreeMap<String, String> {
    let owned = |(module, text): &(&str, &str)| ((*module).to_owned(), (*text).to_owned());
    texts.iter().map(owned).collect()
}

/// Guards against a check that misses cycles through re-exports, `super` and nested modules.
#[test]
fn an_import_cycle_is_found() {
    let root = "mod one; mod two; mod deep;\npub mod prelude { pub use crate::one::First; }\n\
        pub use prelude::*;\n";
    let found = find_cycles(&sources(&[
        ("", root),
        (
            "one",
            "use crate::{deep::inner::Third, two::Second};\npub struct First;\n",
        ),
        ("two", "use crate::First;\npub struct Second;\n"),
        ("deep", "pub mod inner;\npub mod outer;\n"),
        (
            "deep::inner",
            "use super::outer::Fourth;\npub struct Third;\n",
        ),
        (
            "deep::outer",
            "use super::inner::Third;\npub struct Fourth;\n",
        ),
    ]));
    let found = found.expect("the sources parse");
    let modules: Vec<&str> = found.keys().map(String::as_str).collect();
    assert_eq!(modules, ["deep::inner", "deep::outer", "one", "two"]);
    assert!(
        found["two"].contains("one"),
        "import through the re-export: {found:?}"
    );
}

#[test]
fn a_chain_of_imports_is_no_cycle() {
    let found = find_cycles(&sources(&[
        (
            "",
            "mod one; mod two; mod three;\npub use crate::one::First;\n",
        ),
        ("one", "use crate::two::{self, Second};\nuse std::fmt;\n"),
        (
            "two",
            "use crate::three::Third;\n#[cfg(test)]\nmod tests;\n",
        ),
        ("three", "pub struct Third;\n"),
        ("two::tests", "use super::Second;\n"),
    ]));
    assert!(found.expect("the sources parse").is_empty());
}

/// Guards against a check that misses tests with long doc comments, or that rejects short ones.
#[test]
fn a_test_with_more_than_three_doc_lines_is_found() {
    let text = "/// Three\n/// lines\n/// pass.\n#[test]\nfn short() {}\n\nmod inner {\n    \
        /// Four\n    /// lines\n    /// do\n    /// not.\n    \
        #[tokio::test]\n    async fn long() {}\n}\n\n\
        /// This\n/// is\n/// no\n/// test.\nfn helper() {}\n";
    assert_eq!(long_test_docs(text).expect("the sources parse"), ["long"]);
}
