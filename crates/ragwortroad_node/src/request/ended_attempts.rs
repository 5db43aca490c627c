use std::{
    collections::{
        BTreeMap,
        VecDeque, //
    },
    time::Duration,
};

use ragwortroad_gateway::prelude::*;
use ragwortroad_types::prelude::*;

/// Attempts that ended recently, kept for the decision on a retry.
///
/// A traffic thread only names the attempt that failed. Its outcome is looked up here, so that a
/// retry never depends on what the traffic thread reports.
#[derive(Debug, Default)]
pub(crate) struct EndedAttempts {
    attempts: BTreeMap<TicketId, EndedAttempt>,
    order: VecDeque<(ClockTime, TicketId)>,
}

/// An attempt that has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct EndedAttempt {
    /// What is known about the request after it.
    pub(crate) outcome: RequestOutcome,
    /// Attempts of the request so far, this one included.
    pub(crate) attempts: u32,
}

/// How long an ended attempt is kept; a retry follows immediately.
const ENDED_ATTEMPT_TTL: Duration = Duration::from_secs(30);

impl EndedAttempts {
    /// Adds an attempt, and removes those older than the retention time.
    pub(crate) fn add(&mut self, ticket: TicketId, attempt: EndedAttempt, now: ClockTime) {
        self.attempts.insert(ticket, attempt);
        self.order.push_back((now, ticket));
        while self
            .order
            .front()
            .is_some_and(|(ended, _)| now.since(*ended) > ENDED_ATTEMPT_TTL)
        {
            if let Some((_, old)) = self.order.pop_front() {
                self.attempts.remove(&old);
            }
        }
    }

    /// Removes and returns an attempt that ended recently; one attempt can be retried only once.
    pub(crate) fn take(&mut self, ticket: TicketId) -> Option<EndedAttempt> {
        self.attempts.remove(&ticket)
    }
}
