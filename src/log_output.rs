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

use crate::line_quota::LineQuota;

/// Lines that wait to be written at most; further ones are dropped.
///
/// A reader of standard output that stops reading must not stop requests. At some hundred bytes a
/// line this is two megabytes.
const WAITING_LINES: usize = 8192;

/// The log of an edge or a registry while its process runs.
pub(crate) struct ProcessLog {
    /// Writes the last lines when it is dropped.
    _guard: WorkerGuard,
    /// Lines that were dropped because nobody read them in time.
    pub(crate) unread: ErrorCounter,
    /// Lines about single requests that were left out.
    pub(crate) quota: Arc<LineQuota>,
}

/// Sends the log of an edge or a registry to standard output, a JSON object a line.
///
/// Lines are written by a thread of their own, and those about single requests are limited.
pub(crate) fn start_process_log(settings: &LogSettings) -> ProcessLog {
    let (writer, guard) = NonBlockingBuilder::default()
        .buffered_lines_limit(WAITING_LINES)
        .lossy(true)
        .finish(io::stdout());
    let unread = writer.error_counter();
    let quota = Arc::new(LineQuota::default());
    let counted = Arc::clone(&quota);
    let started_at = Instant::now();
    let limit = dynamic_filter_fn(move |metadata, _| {
        let is_limited =
            *metadata.level() == Level::INFO && metadata.fields().field("request").is_some();
        !is_limited || counted.admit(started_at.elapsed().as_secs())
    });
    let lines = tracing_subscriber::fmt::layer()
        .with_writer(writer)
        .json()
        .flatten_event(true)
        .with_current_span(false)
        .with_span_list(false)
        .with_filter(limit);
    let filter = EnvFilter::try_new(&settings.level).unwrap_or_else(|_| EnvFilter::new("info"));
    let started = tracing_subscriber::registry()
        .with(filter)
        .with(lines)
        .try_init();
    if let Err(error) = started {
        eprintln!("the log could not be started: {error}");
    }
    ProcessLog {
        _guard: guard,
        unread,
        quota,
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
    let started = match settings.format {
        LogFormat::Text => builder.try_init(),
        LogFormat::Json => builder.json().try_init(),
    };
    if let Err(error) = started {
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
