use serde::{
    Deserialize,
    Serialize, //
};

/// The current term of a member and its vote in that term.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct VoteRecord {
    /// Highest term in which the member has taken part.
    pub term: u64,
    /// Identity of the candidate that the member voted for in `term`, if any.
    pub voted_for: Option<u64>,
}
