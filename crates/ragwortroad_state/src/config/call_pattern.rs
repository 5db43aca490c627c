use std::fmt;

use serde::{
    Deserialize,
    Serialize, //
};

/// A method and a path pattern of a plain service's calls.
///
/// In the path `*` stands for one whole segment and a last `**` for all that follows.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct CallPattern {
    /// The HTTP method in capitals.
    pub method: String,
    /// The path pattern; starts with `/`.
    pub path: String,
}

impl CallPattern {
    /// Whether a call with this method and path falls under the pattern.
    ///
    /// A path with an encoded byte, an empty segment or a dot segment matches nothing: the service
    /// may resolve it to another path than the one compared here, and a booking that passes for a
    /// read would be sent twice.
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
    path.starts_with('/') && !encoded && segments.all(|part| !matches!(part, "" | "." | ".."))
}

fn matches_path(pattern: &str, path: &str) -> bool {
    let mut parts = path.split('/');
    for wanted in pattern.split('/') {
        match (wanted, parts.next()) {
            ("**", Some(_)) => return true,
            ("*", Some(part)) if !part.is_empty() => {}
            (_, Some(part)) if part == wanted => {}
            _ => return false,
        }
    }
    parts.next().is_none()
}
