use snafu::Snafu;

/// Why something for the time line could not be read.
#[derive(Debug)]
#[derive(Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum TimelineError {
    /// No kind of event has this name.
    #[snafu(display("no kind of event is called '{name}'; use one of: {known}"))]
    UnknownKind {
        /// The name.
        name: String,
        /// All names.
        known: String,
    },
    /// A node's part could not be decoded.
    #[snafu(display("a node's events cannot be read: {source}; run the same version everywhere"))]
    MalformedTimeline {
        /// The codec's reason.
        source: serde_json::Error,
    },
}
