//! Where log entries go.

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

/// Lines that wait to be written at most; further ones are dropped.
///
/// A reader of standard output that stops reading must not stop requests. At some hundred bytes a
/// line this is two megabytes.
const MAX_BUFFERED_LINES: usize = 8192;

/// The log of an edge or a registry while its process runs.
pub(crate) struct ProcessLog {
    /// Writes the last lines when it is dropped.
    _guard: WorkerGuard,
    /// Lines that were dropped because nobody read them in time.
    pub(crate) overflow: ErrorCounter,
    /// Lines about single requests that were left out.
    pub(crate) limiter: Arc<LogLimiter>,
}

/// Sends the log of an edge or a registry to standard output, a JSON object a line.
///
/// Lines are written by a thread of their own, and those about single requests are limited.
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
        eprintln!("the log could not be started: {error}");
    }
    ProcessLog {
        _guard: guard,
        overflow,
        limiter,
    }
}

/// Sends the log of this process to standard error, as the settings say.
///
/// Faulty filter directives fall back to `info` and are reported as the first entry: a process
/// that refuses to start for its log level would be worse than one that logs too much.
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
        eprintln!("the log could not be started: {error}");
    }
    if let Some(fault) = fault {
        tracing::warn!(
            level = settings.level,
            fault,
            "log level cannot be read, using info"
        );
    }
}
