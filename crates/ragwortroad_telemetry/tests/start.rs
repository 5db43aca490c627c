//! Processor time that metrics take from the start of a process.

use std::time::Duration;

use ragwortroad_clock::prelude::*;
use ragwortroad_telemetry::prelude::*;

/// On a VM with a twentieth of a core this takes 20 ms.
const MAX_PROCESSOR_TIME: Duration = Duration::from_millis(1);

/// Guards against a recorder that calibrates a clock before a restarted process does any work.
#[test]
fn the_recorder_starts_at_once() {
    let started = thread_processor_time();
    MetricsPage::install().expect("first recorder of this process");
    let used = thread_processor_time() - started;
    assert!(used < MAX_PROCESSOR_TIME, "{used:?}");
}
