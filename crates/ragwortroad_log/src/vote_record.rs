use serde::{
    Deserialize,
    Serialize, //
};

/// The term a member is in and whom it voted for in that term.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct VoteRecord {
    /// The highest term the member has taken part in.
    pub term: u64,
    /// The identity it voted for in `term`, if it did.
    pub voted_for: Option<u64>,
}
