use serde::{
    Deserialize,
    Serialize, //
};

/// A start of another member that this one knows of.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct MemberStart {
    /// The identity of the member's folder.
    pub member: u64,
    /// Its start; a later start has a greater number.
    pub start: u64,
}
