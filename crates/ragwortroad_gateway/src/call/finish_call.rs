use std::time::Duration;

use crate::{
    AttemptOutcome,
    TicketId, //
};

/// Reports the end of an admitted attempt.
///
/// The gateway sends exactly one for every grant, also when the traffic task is dropped midway: a
/// grant that is never returned would count as load on its endpoint forever.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FinishCall {
    /// The grant's ticket.
    pub ticket: TicketId,
    /// How the attempt ended.
    pub outcome: AttemptOutcome,
    /// Time from dispatch to the end of the attempt.
    pub duration: Duration,
    /// Time for which the endpoint wants no further request from this node.
    pub rest: Option<Duration>,
}
