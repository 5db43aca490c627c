use std::collections::HashMap;

/// Line numbers of sections and keys in a file, which the INI library does not report.
#[derive(Debug, Default)]
pub(crate) struct LineIndex {
    /// Line of each section's first header, from 1.
    sections: HashMap<String, usize>,
    /// Line of the first occurrence of each key, by section and key.
    keys: HashMap<(String, String), usize>,
    /// Repeated section headers, with their lines.
    pub(crate) duplicate_sections: Vec<(String, usize)>,
    /// Repeated keys by section and key, with their lines.
    pub(crate) duplicate_keys: Vec<(String, String, usize)>,
}

impl LineIndex {
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

    /// Returns the line of `section`'s header, or 0 if there is none.
    pub(crate) fn section_line(&self, section: &str) -> usize {
        self.sections.get(section).copied().unwrap_or(0)
    }

    /// Returns the line of `key` in `section`, or the header's line if the key is missing.
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

/// Returns the name in a section header.
fn header_name(line: &str) -> Option<&str> {
    let inner = line.strip_prefix('[')?;
    let (name, _) = inner.split_once(']')?;
    Some(name.trim())
}

/// Returns the key of a `key = value` line.
fn key_name(line: &str) -> Option<&str> {
    if line.starts_with(['#', ';']) {
        return None;
    }
    let (key, _) = line.split_once(['=', ':'])?;
    Some(key.trim())
}
