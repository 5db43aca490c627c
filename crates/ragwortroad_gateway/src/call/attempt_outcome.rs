use crate::RecordedResponse;

/// How an admitted attempt ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// Not one byte can have reached the endpoint.
    NotSent,
    /// The endpoint gave its whole answer.
    Completed {
        /// HTTP status of the endpoint's answer.
        status: u16,
        /// The answer, where the grant asked for it and it is small enough.
        response: Option<RecordedResponse>,
        /// Prompt tokens the engine found in its cache, where it said so.
        cached_tokens: Option<u32>,
    },
    /// Bytes were sent, and no whole answer came back.
    Broken,
    /// The caller left; the attempt was cancelled.
    Cancelled,
    /// The deadline passed with the attempt under way.
    TimedOut,
}
