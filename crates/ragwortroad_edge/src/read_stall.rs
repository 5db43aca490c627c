use std::time::Duration;

use ragwortroad_types::prelude::*;

/// Time for which a client takes nothing that counts as a stall.
const STALL_TIME: Duration = Duration::from_secs(1);

/// Time after a stall during which a broken stream is attributed to it.
///
/// What the endpoint had sent before it gave up is read first.
const AFTERMATH: Duration = Duration::from_secs(1);

/// Tracks whether a client reads its stream as fast as it is sent.
///
/// While it does not, the endpoint cannot send, and cuts the response after some seconds. If that
/// counted against the endpoint, or was repeated at others, a few clients that do not read would
/// take healthy endpoints and the retry budget from all others.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct ReadStall {
    /// When the last events were handed over; `None` while the stream waits for the endpoint.
    handed_over_at: Option<ClockTime>,
    /// When the client read again after its last stall.
    resumed_at: Option<ClockTime>,
}

impl ReadStall {
    /// Records that the client wants more; returns whether it has stalled until now.
    pub(crate) fn note_wanted(&mut self, now: ClockTime) -> bool {
        let handed_over_at = self.handed_over_at.take();
        let has_stalled = handed_over_at.is_some_and(|since| now.since(since) >= STALL_TIME);
        if has_stalled {
            self.resumed_at = Some(now);
        }
        has_stalled
    }

    /// Records that events were handed over for the client.
    pub(crate) fn note_handed_over(&mut self, now: ClockTime) {
        self.handed_over_at = Some(now);
    }

    /// Returns whether a stream that breaks now has probably been cut for a stall.
    pub(crate) fn explains_break(&self, now: ClockTime) -> bool {
        self.resumed_at
            .is_some_and(|resumed_at| now.since(resumed_at) <= AFTERMATH)
    }
}
