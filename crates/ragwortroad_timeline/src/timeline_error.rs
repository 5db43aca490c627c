use snafu::Snafu;

/// An error while parsing input for the timeline.
#[derive(Debug)]
#[derive(Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum TimelineError {
    /// No event kind has this name.
    #[snafu(display("unknown event kind '{name}'; valid kinds: {known}"))]
    UnknownKind {
        /// The name as given.
        name: String,
        /// All valid names, separated by commas.
        known: String,
    },
    /// A node's timeline could not be decoded, for example because the node runs another version.
    #[snafu(display("a node's events cannot be read: {source}; run the same version everywhere"))]
    MalformedTimeline {
        /// The JSON decoder's error.
        source: serde_json::Error,
    },
}
