use std::fmt;

use serde::{
    Deserialize,
    Serialize, //
};

/// An HTTP method and a path pattern of a plain service's calls.
///
/// In the path, `*` matches one whole segment and a final `**` matches the rest of the path.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct CallPattern {
    /// The HTTP method, in upper case.
    pub method: String,
    /// The path pattern, which starts with `/`.
    pub path: String,
}

impl CallPattern {
    /// Whether a call with this method and path matches the pattern. A query string is ignored.
    ///
    /// A path with an encoded byte, an empty segment or a dot segment never matches: the service
    /// may resolve it to another path than the one compared here, and a booking mistaken for a read
    /// would be sent twice.
    pub fn matches(&self, method: &str, path: &str) -> bool {
        let path = path.split('?').next().unwrap_or(path);
        self.method == method && is_plain(path) && matches_path(&self.path, path)
    }
}

impl fmt::Display for CallPattern {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{} {}", self.method, self.path)
    }
}

fn is_plain(path: &str) -> bool {
    let encoded = path.contains(['%', '\\', ';']);
    let mut segments = path.split('/').skip(1);
    path.starts_with('/') && !encoded && segments.all(|segment| !matches!(segment, "" | "." | ".."))
}

fn matches_path(pattern: &str, path: &str) -> bool {
    let mut segments = path.split('/');
    for expected in pattern.split('/') {
        match (expected, segments.next()) {
            ("**", Some(_)) => return true,
            ("*", Some(segment)) if !segment.is_empty() => {}
            (_, Some(segment)) if segment == expected => {}
            _ => return false,
        }
    }
    segments.next().is_none()
}
