//! Processor time that metrics take from the start of a process.

use std::time::Duration;

use ragwortroad_telemetry::prelude::*;
use rustix::time::{
    ClockId,
    clock_gettime, //
};

/// On a VM with a twentieth of a core this takes 20 ms.
const MAX_PROCESSOR_TIME: Duration = Duration::from_millis(1);

fn thread_time() -> Duration {
    let time = clock_gettime(ClockId::ThreadCPUTime);
    Duration::new(time.tv_sec as u64, time.tv_nsec as u32)
}

/// Guards against a recorder that calibrates a clock before a restarted process does any work.
#[test]
fn the_recorder_starts_at_once() {
    let started = thread_time();
    MetricsPage::install().expect("first recorder of this process");
    let used = thread_time() - started;
    assert!(used < MAX_PROCESSOR_TIME, "{used:?}");
}
