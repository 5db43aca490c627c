//! The one place that reads clocks, for the processes that drive pure state.

mod real_clock;

/// Everything a dependent crate usually needs.
pub mod prelude {
    pub use crate::real_clock::RealClock;
}

pub use prelude::*;
