use crate::RecordedResponse;

/// How an admitted attempt ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// No byte of the request can have reached the endpoint.
    NotSent,
    /// The endpoint returned its complete response.
    Completed {
        /// HTTP status of the endpoint's response.
        status: u16,
        /// The response, if the grant asked for it and it is within the size limit for recording.
        response: Option<RecordedResponse>,
        /// Prompt tokens that the engine found in its prefix cache; `None` if it reported no count.
        cached_tokens: Option<u32>,
    },
    /// Bytes were sent, and no valid, complete response came back.
    Broken,
    /// Bytes were sent, no complete response came back, and the endpoint refuses connections since:
    /// its process has ended.
    Crashed,
    /// The client disconnected, and the attempt was cancelled.
    Cancelled,
    /// The deadline passed while the attempt was in flight.
    TimedOut,
}
