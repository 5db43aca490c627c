use serde::{
    Deserialize,
    Serialize, //
};

/// Position of a log entry. Of two logs, the one whose last position is greater is more up to date.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct LogPosition {
    /// Term of the entry.
    pub term: u64,
    /// Index of the entry; 0 is the position before the first one.
    pub index: u64,
}
