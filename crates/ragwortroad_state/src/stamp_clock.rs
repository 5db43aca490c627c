use ragwortroad_types::prelude::*;
use serde::{
    Deserialize,
    Serialize, //
};

use crate::StateTime;

/// The timestamps that the leader attaches to each command.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct CommandStamp {
    /// Time of the state clock.
    pub state: StateTime,
    /// Milliseconds since 1970 on the leader's wall clock; used only for keys that contain a date.
    pub wall_ms: u64,
}

/// Advances the state clock with the leader's own monotonic clock.
///
/// A leader starts it after it has applied the first entry of its own term. By then it has applied
/// every entry that earlier leaders committed, so the clock continues from their last stamp. If it
/// were started earlier, it would run behind theirs and its stamps would have no effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StampClock {
    base: StateTime,
    started: ClockTime,
}

impl StampClock {
    /// Starts at state time `base` when the local clock reads `now`.
    pub fn start(base: StateTime, now: ClockTime) -> Self {
        Self { base, started: now }
    }

    /// Returns the stamp of a command that is proposed at local time `now`.
    pub fn stamp(&self, now: ClockTime, wall_ms: u64) -> CommandStamp {
        CommandStamp {
            state: self.base.after(now.since(self.started)),
            wall_ms,
        }
    }
}
