use std::time::Duration;

use rustix::time::{
    ClockId,
    clock_gettime, //
};

/// Returns the processor time that the calling thread has used.
pub fn thread_processor_time() -> Duration {
    let time = clock_gettime(ClockId::ThreadCPUTime);
    Duration::new(time.tv_sec as u64, time.tv_nsec as u32)
}
