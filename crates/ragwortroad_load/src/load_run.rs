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

/// Stack of a caller's thread: many of them wait at once.
const CLIENT_STACK_BYTES: usize = 256 << 10;

/// One caller's results.
struct ClientResult {
    notes: Vec<CallRecord>,
    latencies: LatencySet,
}

/// Sends the load, each request when it is due, and waits for every answer.
///
/// A request that is due when every caller is busy waits, and its wait counts into its latency.
pub fn run_load(settings: LoadSettings) -> Result<RunReport, LoadError> {
    let arrivals = plan_arrivals(&settings);
    let start = Instant::now();
    let callers = settings.client_threads.clamp(1, arrivals.len().max(1));
    let state = Arc::new(LoadState::new(settings, start));
    let (sender, queue) = flume::unbounded();
    let mut threads = Vec::with_capacity(callers);
    for _ in 0..callers {
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
    let mut notes = Vec::new();
    for thread in threads {
        let result = thread.join().map_err(|_| LoadError::ClientPanicked)??;
        latencies.merge(&result.latencies);
        notes.extend(result.notes);
    }
    let seed = state.settings.seed;
    Ok(RunReport::new(seed, start.elapsed(), notes, &latencies))
}

fn run_arrivals(
    state: &LoadState,
    queue: &Receiver<PlannedArrival>,
) -> Result<ClientResult, LoadError> {
    let mut result = ClientResult {
        notes: Vec::new(),
        latencies: LatencySet::new()?,
    };
    while let Ok(arrival) = queue.recv() {
        let note = state.execute(arrival, &mut result.latencies);
        result.notes.push(note);
    }
    Ok(result)
}
