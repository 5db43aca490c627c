use std::fmt;

use serde::{
    Deserialize,
    Serialize, //
};

use crate::utc_time::utc_text;

/// Bits of the counter below the milliseconds.
const COUNTER_BITS: u32 = 16;

/// A stamp of a [`HybridClock`](crate::HybridClock): near the wall clock, and never against cause
/// and effect.
///
/// Invariant: the upper 48 bits are milliseconds since 1970, the lower 16 a counter, so stamps
/// compare as numbers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct HybridTime(pub u64);

impl HybridTime {
    /// The first stamp of a millisecond.
    pub fn from_wall_ms(wall_ms: u64) -> Self {
        Self(wall_ms << COUNTER_BITS)
    }

    /// The milliseconds since 1970.
    pub fn wall_ms(self) -> u64 {
        self.0 >> COUNTER_BITS
    }

    /// The counter within the millisecond.
    pub fn counter(self) -> u16 {
        self.0 as u16
    }

    /// The next stamp; a counter that is used up runs into the next millisecond.
    pub(crate) fn next(self) -> Self {
        Self(self.0.saturating_add(1))
    }
}

impl fmt::Display for HybridTime {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}", utc_text(self.wall_ms()))?;
        match self.counter() {
            0 => Ok(()),
            counter => write!(formatter, "+{counter}"),
        }
    }
}
