use std::fmt;

use serde::{
    Deserialize,
    Serialize, //
};

/// Identity of one member: the random identity of its data folder.
///
/// A member whose disk was replaced has an empty folder and so another identity; nothing that the
/// old identity promised is expected of the new one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct MemberId(pub u64);

impl fmt::Display for MemberId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:016x}", self.0)
    }
}
