use std::{
    sync::Arc,
    thread,
    time::Instant, //
};

use flume::Receiver;
use snafu::ResultExt;

use crate::{
    CallRecord,
    LoadError,
    LoadSettings,
    RunReport,
    arrival_plan::{
        PlannedArrival,
        plan_arrivals, //
    },
    latency_set::LatencySet,
    load_error::ThreadsSnafu,
    load_state::LoadState, //
};

/// Stack size of a client thread, below the default since many of them run at once.
const CLIENT_STACK_BYTES: usize = 256 << 10;

/// Results of one client thread.
struct ClientResult {
    records: Vec<CallRecord>,
    latencies: LatencySet,
}

/// Sends each request of the load when it is due, and waits for every response.
///
/// A request that is due while every client thread is busy is queued; its latency includes the
/// time in the queue.
pub fn run_load(settings: LoadSettings) -> Result<RunReport, LoadError> {
    let arrivals = plan_arrivals(&settings);
    let start = Instant::now();
    let thread_count = settings.client_threads.clamp(1, arrivals.len().max(1));
    let state = Arc::new(LoadState::new(settings, start));
    let (sender, queue) = flume::unbounded();
    let mut threads = Vec::with_capacity(thread_count);
    for _ in 0..thread_count {
        let state = Arc::clone(&state);
        let queue = queue.clone();
        let builder = thread::Builder::new()
            .name("caller".to_owned())
            .stack_size(CLIENT_STACK_BYTES);
        let thread = builder.spawn(move || run_arrivals(&state, &queue));
        threads.push(thread.context(ThreadsSnafu)?);
    }
    drop(queue);
    for arrival in arrivals {
        thread::sleep((start + arrival.at).saturating_duration_since(Instant::now()));
        if sender.send(arrival).is_err() {
            break;
        }
    }
    drop(sender);
    let mut latencies = LatencySet::new()?;
    let mut records = Vec::new();
    for thread in threads {
        let result = thread.join().map_err(|_| LoadError::ClientPanicked)??;
        latencies.merge(&result.latencies);
        records.extend(result.records);
    }
    let seed = state.settings.seed;
    Ok(RunReport::new(seed, start.elapsed(), records, &latencies))
}

fn run_arrivals(
    state: &LoadState,
    queue: &Receiver<PlannedArrival>,
) -> Result<ClientResult, LoadError> {
    let mut result = ClientResult {
        records: Vec::new(),
        latencies: LatencySet::new()?,
    };
    while let Ok(arrival) = queue.recv() {
        let record = state.execute(arrival, &mut result.latencies);
        result.records.push(record);
    }
    Ok(result)
}
