//! Where log entries go.

use std::io;

use ragwortroad_settings::prelude::*;
use tracing_subscriber::EnvFilter;

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
