//! Where log entries go.

use std::io;

use ragwortroad_settings::prelude::*;
use tracing_appender::non_blocking::{
    ErrorCounter,
    NonBlockingBuilder,
    WorkerGuard, //
};
use tracing_subscriber::EnvFilter;

/// Lines that wait to be written at most; further ones are dropped.
///
/// A reader of standard output that stops reading must not stop requests. At some hundred bytes a
/// line this is two megabytes.
const WAITING_LINES: usize = 8192;

/// Sends the log of an edge or a registry to standard output, a JSON object a line.
///
/// Lines are written by a thread of their own; the guard writes the last ones when it is dropped.
/// The counter tells how many were dropped because nobody read them in time.
pub(crate) fn start_process_log(settings: &LogSettings) -> (WorkerGuard, ErrorCounter) {
    let (writer, guard) = NonBlockingBuilder::default()
        .buffered_lines_limit(WAITING_LINES)
        .lossy(true)
        .finish(io::stdout());
    let counter = writer.error_counter();
    let filter = EnvFilter::try_new(&settings.level).unwrap_or_else(|_| EnvFilter::new("info"));
    let started = tracing_subscriber::fmt()
        .with_env_filter(filter)
        .with_writer(writer)
        .json()
        .flatten_event(true)
        .with_current_span(false)
        .with_span_list(false)
        .try_init();
    if let Err(error) = started {
        eprintln!("the log could not be started: {error}");
    }
    (guard, counter)
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
