use std::fmt;

use serde::{
    Deserialize,
    Serialize, //
};

/// Identity of a member: the random identity of its data folder.
///
/// A member whose disk was replaced has an empty folder and so a new identity, which is not bound
/// by the votes and acknowledgements of the old one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct MemberId(pub u64);

impl fmt::Display for MemberId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:016x}", self.0)
    }
}
