use snafu::Snafu;

/// An error while parsing measurements or drawing a page.
#[derive(Debug)]
#[derive(Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum ReportError {
    /// A file is not valid JSON.
    #[snafu(display(
        "{name} is not JSON ({source}); pass a file that contains only the output of \
         'ragwortroad load --json', 'demo --json' or 'bench --json'"
    ))]
    NotJson {
        /// Name of the file.
        name: String,
        /// The JSON parser's error.
        source: serde_json::Error,
    },
    /// A file is JSON, but not one of the reports.
    #[snafu(display(
        "{name} is not a report of 'load', 'demo' or 'bench': it has neither 'policies' nor 'load' \
         nor 'outcomes'; create a report with --json"
    ))]
    UnknownReport {
        /// Name of the file.
        name: String,
    },
    /// A report lacks a field or has a field of the wrong type.
    #[snafu(display(
        "{name} looks like a report of '{command}' but cannot be parsed ({source}); create it again \
         with 'ragwortroad {command} --json' of this version"
    ))]
    Incomplete {
        /// Name of the file.
        name: String,
        /// The command that prints such reports.
        command: &'static str,
        /// The JSON parser's error.
        source: serde_json::Error,
    },
    /// A plot could not be drawn.
    #[snafu(display(
        "failed to draw the plot '{title}': {reason}; this is a bug, please report it"
    ))]
    PlotFailed {
        /// Title of the plot.
        title: String,
        /// The plotting library's error.
        reason: String,
    },
}
