use std::{
    fs,
    path::Path, //
};

use crate::platform_words::{
    find_below,
    find_in,
    read_words, //
};

/// Someone reads a header of the platform in the edge. The check must see it, or it checks nothing.
#[test]
fn a_word_outside_the_adapter_is_found() {
    let words = read_words("# a comment\n\nX-Made-Up\n");
    assert_eq!(words, ["X-Made-Up"]);
    let text = "fn is_run(headers: &HeaderMap) {\n    headers.get(\"x-made-up\");\n}\n";
    let found = find_in(Path::new("crates/edge.rs"), text, &words);
    assert_eq!((found.len(), found[0].line), (1, 2));
}

#[test]
fn only_sources_outside_the_free_folders_are_searched() {
    let root = std::env::temp_dir().join(format!("platform-words-{}", std::process::id()));
    for folder in ["platform/src", "crates/edge/src"] {
        fs::create_dir_all(root.join(folder)).expect("a folder");
        fs::write(root.join(folder).join("lib.rs"), "// X-Made-Up\n").expect("a file");
    }
    fs::write(root.join("notes.md"), "X-Made-Up").expect("a file");
    let found = find_below(&root, &["X-Made-Up".to_owned()]).expect("reads");
    fs::remove_dir_all(&root).expect("removes what it made");
    let paths: Vec<_> = found.iter().map(|stray| stray.path.clone()).collect();
    assert_eq!(paths, [root.join("crates/edge/src/lib.rs")]);
}
