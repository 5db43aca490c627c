//! Checks that words of the users' platform occur only in its adapter.
//!
//! Code elsewhere that uses a name of the platform depends on that platform, and would have to
//! change for a second one.

use std::{
    fs,
    io,
    path::{
        Path,
        PathBuf, //
    }, //
};

/// The list of words, next to the adapter.
pub(crate) const WORDS_PATH: &str = "platform/words.txt";

/// Folders that may contain the words, or that contain no sources of this repository.
const EXEMPT_FOLDERS: [&str; 5] = ["platform", "deploy", "target", "journal", ".git"];

/// An occurrence of a platform word outside the adapter.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct MisplacedWord {
    pub(crate) path: PathBuf,
    pub(crate) line: usize,
    pub(crate) word: String,
}

/// Parses a list of words: one per line, with `#` comments.
pub(crate) fn read_words(text: &str) -> Vec<String> {
    let lines = text.lines().map(str::trim);
    let words = lines.filter(|line| !line.is_empty() && !line.starts_with('#'));
    words.map(str::to_owned).collect()
}

/// Finds the words in the text of one file, ignoring case.
pub(crate) fn find_in_text(path: &Path, text: &str, words: &[String]) -> Vec<MisplacedWord> {
    let mut found = Vec::new();
    for (index, line) in text.lines().enumerate() {
        let lower = line.to_ascii_lowercase();
        for word in words {
            if lower.contains(&word.to_ascii_lowercase()) {
                found.push(MisplacedWord {
                    path: path.to_owned(),
                    line: index + 1,
                    word: word.clone(),
                });
            }
        }
    }
    found
}

/// Finds the words in all Rust sources below `root`, except for the exempt folders.
pub(crate) fn find_in_sources(root: &Path, words: &[String]) -> io::Result<Vec<MisplacedWord>> {
    let mut found = Vec::new();
    let mut folders = vec![root.to_owned()];
    while let Some(folder) = folders.pop() {
        for entry in fs::read_dir(&folder)? {
            let path = entry?.path();
            let name = path.file_name().and_then(|name| name.to_str());
            let is_exempt =
                folder == root && name.is_some_and(|name| EXEMPT_FOLDERS.contains(&name));
            if is_exempt {
                continue;
            }
            if path.is_dir() {
                folders.push(path);
            } else if path.extension().is_some_and(|extension| extension == "rs") {
                let text = fs::read_to_string(&path)?;
                found.extend(find_in_text(&path, &text, words));
            }
        }
    }
    Ok(found)
}
