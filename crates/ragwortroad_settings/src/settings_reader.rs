use std::{
    collections::{
        BTreeMap,
        BTreeSet, //
    },
    fmt::Display,
    str::FromStr,
    time::Duration, //
};

use ini::Ini;

use crate::{
    line_index::LineIndex,
    settings_fault::SettingsFault, //
};

/// Reads the keys of a parsed file and collects their faults.
pub(crate) struct SettingsReader<'a> {
    file: &'a Ini,
    index: LineIndex,
    /// Keys read so far, by section; all others in the file are unknown.
    known: BTreeMap<&'static str, Vec<&'static str>>,
    /// Sections whose keys are names that the operator gives.
    named: BTreeSet<&'static str>,
    faults: Vec<SettingsFault>,
}

impl<'a> SettingsReader<'a> {
    pub(crate) fn new(file: &'a Ini, index: LineIndex) -> Self {
        Self {
            file,
            index,
            known: BTreeMap::new(),
            named: BTreeSet::new(),
            faults: Vec::new(),
        }
    }

    pub(crate) fn has_section(&self, section: &str) -> bool {
        self.file.section(Some(section)).is_some()
    }

    /// Returns the text of a required key, or an empty string with a fault if it is missing.
    pub(crate) fn required_text(&mut self, section: &'static str, key: &'static str) -> String {
        let text = self.text(section, key);
        if text.is_none() {
            let remedy = format!("add '{key} = ...' under [{section}]");
            self.fault(section, key, "is missing".to_owned(), remedy);
        }
        text.unwrap_or_default()
    }

    /// Returns the parsed value of a required key, or `None` with a fault.
    pub(crate) fn required_value<T>(
        &mut self,
        section: &'static str,
        key: &'static str,
        example: &str,
    ) -> Option<T>
    where
        T: FromStr,
        T::Err: Display,
    {
        let text = self.required_text(section, key);
        if text.is_empty() {
            return None;
        }
        self.parse(section, key, &text, example)
    }

    /// Returns the parsed value of an optional key, or `None`; an invalid value is a fault.
    pub(crate) fn optional_value<T>(
        &mut self,
        section: &'static str,
        key: &'static str,
        example: &str,
    ) -> Option<T>
    where
        T: FromStr,
        T::Err: Display,
    {
        let text = self.text(section, key)?;
        self.parse(section, key, &text, example)
    }

    /// Returns an integer between `min` and `max`, or `default` if the key is missing or invalid.
    pub(crate) fn number(
        &mut self,
        section: &'static str,
        key: &'static str,
        default: u64,
        (min, max): (u64, u64),
    ) -> u64 {
        let example = default.to_string();
        let Some(value) = self.optional_value::<u64>(section, key, &example) else {
            return default;
        };
        if (min..=max).contains(&value) {
            return value;
        }
        let message = format!("{value} is out of range");
        let remedy = format!("give an integer from {min} to {max}");
        self.fault(section, key, message, remedy);
        default
    }

    /// Returns a duration in milliseconds between `min` and `max`, or `default`.
    pub(crate) fn millis(
        &mut self,
        section: &'static str,
        key: &'static str,
        default: Duration,
        bounds: (u64, u64),
    ) -> Duration {
        let default = default.as_millis() as u64;
        Duration::from_millis(self.number(section, key, default, bounds))
    }

    /// Returns the items of a comma-separated list; empty if the key is missing.
    pub(crate) fn list<T>(
        &mut self,
        section: &'static str,
        key: &'static str,
        example: &str,
    ) -> Vec<T>
    where
        T: FromStr,
        T::Err: Display,
    {
        let text = self.text(section, key).unwrap_or_default();
        let parts = text.split(',').map(str::trim);
        let parts: Vec<&str> = parts.filter(|part| !part.is_empty()).collect();
        let parse = |part: &&str| self.parse(section, key, part, example);
        parts.iter().filter_map(parse).collect()
    }

    /// Returns the raw text of a key, and marks the key as known.
    pub(crate) fn text(&mut self, section: &'static str, key: &'static str) -> Option<String> {
        let known = self.known.entry(section).or_default();
        known.push(key);
        let text = self.file.get_from(Some(section), key)?;
        Some(text.trim().to_owned())
    }

    /// Returns all keys of a section with their raw texts; the operator chooses the keys.
    pub(crate) fn entries(&mut self, section: &'static str) -> Vec<(String, String)> {
        self.known.entry(section).or_default();
        self.named.insert(section);
        let properties = self.file.section(Some(section)).into_iter();
        let entries = properties.flat_map(|properties| properties.iter());
        entries
            .map(|(key, text)| (key.to_owned(), text.trim().to_owned()))
            .collect()
    }

    /// Records a fault of a key.
    pub(crate) fn fault(&mut self, section: &str, key: &str, message: String, remedy: String) {
        self.faults.push(SettingsFault {
            line: self.index.key_line(section, key),
            key: format!("{section}.{key}"),
            message,
            remedy,
        });
    }

    /// Returns all faults, those of unknown and repeated names included, in the order of their
    /// lines.
    pub(crate) fn finish(mut self) -> Vec<SettingsFault> {
        self.report_unknown();
        self.report_duplicates();
        self.faults.sort_by_key(|fault| fault.line);
        self.faults
    }

    fn parse<T>(&mut self, section: &str, key: &str, text: &str, example: &str) -> Option<T>
    where
        T: FromStr,
        T::Err: Display,
    {
        match text.parse() {
            Ok(value) => Some(value),
            Err(error) => {
                let message = format!("'{text}' cannot be parsed ({error})");
                let remedy = format!("write it like '{example}'");
                self.fault(section, key, message, remedy);
                None
            }
        }
    }

    fn report_unknown(&mut self) {
        let mut found = Vec::new();
        for (section, properties) in self.file.iter() {
            let section = section.unwrap_or("");
            let Some(known) = self.known.get(section) else {
                let names = self.known.keys().copied();
                found.extend(self.unknown_section(section, names, properties.is_empty()));
                continue;
            };
            if self.named.contains(section) {
                continue;
            }
            for (key, _) in properties.iter() {
                if !known.contains(&key) {
                    found.push(self.unknown_key(section, key, known));
                }
            }
        }
        self.faults.extend(found);
    }

    fn unknown_section(
        &self,
        section: &str,
        names: impl Iterator<Item = &'static str>,
        is_empty: bool,
    ) -> Option<SettingsFault> {
        // The library always yields an unnamed section before the first header.
        if section.is_empty() && is_empty {
            return None;
        }
        Some(SettingsFault {
            line: self.index.section_line(section),
            key: format!("[{section}]"),
            message: "is not a known section".to_owned(),
            remedy: suggest_nearest(section, names),
        })
    }

    fn unknown_key(&self, section: &str, key: &str, known: &[&'static str]) -> SettingsFault {
        SettingsFault {
            line: self.index.key_line(section, key),
            key: format!("{section}.{key}"),
            message: "is not a known key".to_owned(),
            remedy: suggest_nearest(key, known.iter().copied()),
        }
    }

    fn report_duplicates(&mut self) {
        for (section, line) in &self.index.duplicate_sections {
            self.faults.push(SettingsFault {
                line: *line,
                key: format!("[{section}]"),
                message: "stands twice".to_owned(),
                remedy: "merge it into the first one".to_owned(),
            });
        }
        for (section, key, line) in &self.index.duplicate_keys {
            self.faults.push(SettingsFault {
                line: *line,
                key: format!("{section}.{key}"),
                message: "stands twice".to_owned(),
                remedy: "remove one of the two lines".to_owned(),
            });
        }
    }
}

/// Suggests the known word that is nearest to `word`.
fn suggest_nearest(word: &str, known: impl Iterator<Item = &'static str>) -> String {
    let nearest = known.min_by_key(|name| strsim::damerau_levenshtein(word, name));
    match nearest {
        Some(name) => format!("did you mean '{name}'?"),
        None => "remove it".to_owned(),
    }
}
