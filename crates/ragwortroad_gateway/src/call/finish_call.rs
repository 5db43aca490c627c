use std::time::Duration;

use crate::{
    AttemptOutcome,
    TicketId, //
};

/// The end of an admitted attempt.
///
/// Exactly one follows every grant, also when the traffic task is dropped in the middle: a grant
/// that is never given back would count as load for ever.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FinishCall {
    /// The grant's ticket.
    pub ticket: TicketId,
    /// How it ended.
    pub outcome: AttemptOutcome,
    /// From dispatch to the end.
    pub duration: Duration,
}
