use snafu::Snafu;

/// Why no page could be made.
#[derive(Debug)]
#[derive(Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum ReportError {
    /// A file is no JSON.
    #[snafu(display(
        "{name} is not JSON ({source}); give a file with the output of 'ragwortroad load --json', \
         'demo --json' or 'bench --json' alone"
    ))]
    NotJson {
        /// The file.
        name: String,
        /// The parser's word.
        source: serde_json::Error,
    },
    /// A file is JSON and none of the reports.
    #[snafu(display(
        "{name} is no report of 'load', 'demo' or 'bench': it has neither 'policies' nor 'load' \
         nor 'outcomes'; write one with --json"
    ))]
    UnknownReport {
        /// The file.
        name: String,
    },
    /// A report lacks something.
    #[snafu(display(
        "{name} looks like a report of '{command}' but cannot be read ({source}); write it again \
         with this version's 'ragwortroad {command} --json'"
    ))]
    Incomplete {
        /// The file.
        name: String,
        /// The command that writes such reports.
        command: &'static str,
        /// The parser's word.
        source: serde_json::Error,
    },
    /// A plot could not be drawn.
    #[snafu(display("the plot '{title}' could not be drawn: {reason}; report it as a fault"))]
    PlotFailed {
        /// The plot.
        title: String,
        /// The library's word.
        reason: String,
    },
}
