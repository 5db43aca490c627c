use std::collections::HashMap;

/// Where sections and keys stand in a file; the INI library reports no lines.
#[derive(Debug, Default)]
pub(crate) struct LineIndex {
    /// Line of each section's first header, from 1.
    sections: HashMap<String, usize>,
    /// Line of each key's first entry, by section and key.
    keys: HashMap<(String, String), usize>,
    /// Later headers of a section that came before, with their lines.
    pub(crate) duplicate_sections: Vec<(String, usize)>,
    /// Later places of a key that came before in its section, with their lines.
    pub(crate) duplicate_keys: Vec<(String, String, usize)>,
}

impl LineIndex {
    /// Indexes `text`.
    pub(crate) fn new(text: &str) -> Self {
        let mut index = Self::default();
        let mut section = String::new();
        for (position, line) in text.lines().enumerate() {
            let line = line.trim();
            if let Some(name) = header_name(line) {
                section = name.to_owned();
                index.add_section(&section, position + 1);
            } else if let Some(key) = key_name(line) {
                index.add_key(&section, key, position + 1);
            }
        }
        index
    }

    /// Line of `section`'s header, or 0 where there is none.
    pub(crate) fn section_line(&self, section: &str) -> usize {
        self.sections.get(section).copied().unwrap_or(0)
    }

    /// Line of `key` in `section`; the header's line where the key is missing.
    pub(crate) fn key_line(&self, section: &str, key: &str) -> usize {
        let entry = (section.to_owned(), key.to_owned());
        let line = self.keys.get(&entry).copied();
        line.unwrap_or_else(|| self.section_line(section))
    }

    fn add_section(&mut self, section: &str, line: usize) {
        if self.sections.contains_key(section) {
            self.duplicate_sections.push((section.to_owned(), line));
            return;
        }
        self.sections.insert(section.to_owned(), line);
    }

    fn add_key(&mut self, section: &str, key: &str, line: usize) {
        let entry = (section.to_owned(), key.to_owned());
        if self.keys.contains_key(&entry) {
            self.duplicate_keys.push((entry.0, entry.1, line));
            return;
        }
        self.keys.insert(entry, line);
    }
}

/// The name in a section header.
fn header_name(line: &str) -> Option<&str> {
    let inner = line.strip_prefix('[')?;
    let (name, _) = inner.split_once(']')?;
    Some(name.trim())
}

/// The key of a `key = value` line.
fn key_name(line: &str) -> Option<&str> {
    if line.starts_with(['#', ';']) {
        return None;
    }
    let (key, _) = line.split_once(['=', ':'])?;
    Some(key.trim())
}
