//! Log output of the processes.

use std::{
    io,
    sync::Arc,
    time::Instant, //
};

use ragwortroad_settings::prelude::*;
use tracing::Level;
use tracing_appender::non_blocking::{
    ErrorCounter,
    NonBlockingBuilder,
    WorkerGuard, //
};
use tracing_subscriber::{
    EnvFilter,
    Layer,
    filter::dynamic_filter_fn,
    layer::SubscriberExt,
    util::SubscriberInitExt, //
};

use crate::log_limiter::LogLimiter;

/// Maximum number of lines buffered for standard output; further ones are dropped.
///
/// A reader of standard output that stops reading must not block requests. At a few hundred bytes
/// per line, the buffer takes two megabytes.
const MAX_BUFFERED_LINES: usize = 8192;

/// Log of an edge, registry or directory process; must live until the process ends.
pub(crate) struct ProcessLog {
    /// Flushes the buffered lines when dropped.
    _guard: WorkerGuard,
    /// Counts lines that were dropped because the buffer was full.
    pub(crate) overflow: ErrorCounter,
    /// Limits the lines about single requests and counts those suppressed.
    pub(crate) limiter: Arc<LogLimiter>,
}

/// Writes the log of an edge, registry or directory to standard output, one JSON object per line.
///
/// A separate thread writes the lines. Lines about single requests, which are entries at level
/// `INFO` with a field `request`, are limited per second. Invalid filter directives are replaced by
/// `info`.
pub(crate) fn start_process_log(settings: &LogSettings) -> ProcessLog {
    let (writer, guard) = NonBlockingBuilder::default()
        .buffered_lines_limit(MAX_BUFFERED_LINES)
        .lossy(true)
        .finish(io::stdout());
    let overflow = writer.error_counter();
    let limiter = Arc::new(LogLimiter::default());
    let filter_limiter = Arc::clone(&limiter);
    let started_at = Instant::now();
    let request_filter = dynamic_filter_fn(move |metadata, _| {
        let is_limited =
            *metadata.level() == Level::INFO && metadata.fields().field("request").is_some();
        !is_limited || filter_limiter.admit(started_at.elapsed().as_secs())
    });
    let layer = tracing_subscriber::fmt::layer()
        .with_writer(writer)
        .json()
        .flatten_event(true)
        .with_current_span(false)
        .with_span_list(false)
        .with_filter(request_filter);
    let filter = EnvFilter::try_new(&settings.level).unwrap_or_else(|_| EnvFilter::new("info"));
    let result = tracing_subscriber::registry()
        .with(filter)
        .with(layer)
        .try_init();
    if let Err(error) = result {
        eprintln!("failed to start the log: {error}");
    }
    ProcessLog {
        _guard: guard,
        overflow,
        limiter,
    }
}

/// Writes the log of this process to standard error, with the level and format of the settings.
///
/// Invalid filter directives are replaced by `info` and reported in the first entry: a process that
/// refuses to start because of its log level would be worse than one that logs too much.
pub(crate) fn start_log(settings: &LogSettings) {
    let parsed = EnvFilter::try_new(&settings.level);
    let fault = parsed.as_ref().err().map(ToString::to_string);
    let filter = parsed.unwrap_or_else(|_| EnvFilter::new("info"));
    let builder = tracing_subscriber::fmt()
        .with_env_filter(filter)
        .with_writer(io::stderr);
    let result = match settings.format {
        LogFormat::Text => builder.try_init(),
        LogFormat::Json => builder.json().try_init(),
    };
    if let Err(error) = result {
        eprintln!("failed to start the log: {error}");
    }
    if let Some(fault) = fault {
        tracing::warn!(
            level = settings.level,
            fault,
            "invalid log level; using info"
        );
    }
}
