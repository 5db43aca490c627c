use serde::{
    Deserialize,
    Serialize, //
};

/// The place of one entry; of two logs, the one whose last position is greater is newer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct LogPosition {
    /// The term of the entry.
    pub term: u64,
    /// Its index; 0 stands before the first.
    pub index: u64,
}
