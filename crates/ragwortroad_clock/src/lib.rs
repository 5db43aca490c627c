//! The only crate that reads clocks, for the processes that drive state machines without I/O.

mod real_clock;

/// Common items for dependent crates.
pub mod prelude {
    pub use crate::real_clock::RealClock;
}

pub use prelude::*;
