use serde::{
    Deserialize,
    Serialize, //
};

/// The latest start number of another member known to this one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct MemberStart {
    /// The identity of the member's folder.
    pub member: u64,
    /// The start number; a later start has a greater one.
    pub start: u64,
}
