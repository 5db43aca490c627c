//! Names and formats of the platform, which stand in the files of the folder `wire`.

/// The configuration of the site.
pub const CONFIG: &str = include_str!("wire/config.json");

/// A heartbeat of a replica.
pub const HEARTBEAT: &str = include_str!("wire/heartbeat.json");

/// Header names, header lines, and placeholders of the settings template.
const NAMES: &str = include_str!("wire/names.txt");

/// Returns the name or line with a key.
pub fn name(key: &str) -> &'static str {
    let pairs = NAMES.lines().filter_map(|line| line.split_once(" = "));
    let mut found = pairs.filter(|(known, _)| *known == key);
    found.next().map_or("", |(_, value)| value)
}

/// Replaces the fields `<name>` of a template.
pub fn fill(template: &str, fields: &[(&str, &str)]) -> String {
    let mut text = template.trim_end().to_owned();
    for (field, value) in fields {
        text = text.replace(&format!("<{field}>"), value);
    }
    text
}
