use std::time::Duration;

use ragwortroad_types::prelude::*;

/// Share of a link that all paced messages use together in the long run.
///
/// The rest is for messages that are sent at once: heartbeats, urgent changes, and answers, among
/// them whole configurations for operators.
const PACED_LINK_SHARE: f64 = 0.6;

/// Account of the bytes that a registry sends in paced messages of all kinds.
///
/// The shares of the kinds, as in [`SendPace`](crate::SendPace), add up to more than the link, so
/// that a kind which is alone gets most of it. Each kind may send only while the account is free.
#[derive(Clone, Copy, Debug)]
pub struct LinkAccount {
    /// Bytes per second that the link carries.
    link_rate: f64,
    /// When the link's share has carried all paced messages so far.
    free_at: ClockTime,
}

impl LinkAccount {
    /// Creates an account without any sent bytes for a link of `link_rate` bytes per second.
    pub fn new(link_rate: f64) -> Self {
        Self {
            link_rate,
            free_at: ClockTime::ZERO,
        }
    }

    /// Returns when the next paced message may be sent.
    pub fn free_at(&self) -> ClockTime {
        self.free_at
    }

    /// Returns whether a paced message may be sent.
    pub fn is_free(&self, now: ClockTime) -> bool {
        now >= self.free_at
    }

    /// Records a message of `bytes` to all of its receivers together.
    pub fn note_sent(&mut self, bytes: usize, now: ClockTime) {
        let seconds = bytes as f64 / (self.link_rate * PACED_LINK_SHARE);
        self.free_at = self
            .free_at
            .max(now)
            .after(Duration::from_secs_f64(seconds));
    }
}
