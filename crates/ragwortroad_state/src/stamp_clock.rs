use ragwortroad_types::prelude::*;
use serde::{
    Deserialize,
    Serialize, //
};

use crate::StateTime;

/// The two times a leader puts into each command.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct CommandStamp {
    /// The state's clock.
    pub state: StateTime,
    /// Milliseconds since 1970 by the leader's wall clock; used only for dated keys.
    pub wall_ms: u64,
}

/// Continues the state's clock on a leader's own monotonic clock.
///
/// A leader starts it when it has applied the first entry of its own term. By then it has applied
/// everything that earlier leaders got accepted, so that the clock goes on from their last stamp;
/// started earlier, it would run behind theirs and its commands' stamps would be of no effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StampClock {
    base: StateTime,
    started: ClockTime,
}

impl StampClock {
    /// Goes on from the state's time `base` at the own reading `now`.
    pub fn start(base: StateTime, now: ClockTime) -> Self {
        Self { base, started: now }
    }

    /// The stamp of a command proposed at the own reading `now`.
    pub fn stamp(&self, now: ClockTime, wall_ms: u64) -> CommandStamp {
        CommandStamp {
            state: self.base.after(now.since(self.started)),
            wall_ms,
        }
    }
}
