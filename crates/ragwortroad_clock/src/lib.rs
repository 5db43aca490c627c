//! The only crate that reads clocks: the time for processes that drive state machines without I/O, and
//! the processor time of a thread.

mod processor_time;
mod real_clock;

/// Common items for dependent crates.
pub mod prelude {
    pub use crate::{
        processor_time::thread_processor_time,
        real_clock::RealClock, //
    };
}

pub use prelude::*;
