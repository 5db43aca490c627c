/// How the request of a slot ended, as far as it tells about the endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum SlotOutcome {
    /// A complete response that is not a server error.
    Succeeded,
    /// A server error, a broken response, or no connection.
    Failed,
    /// The client disconnected, the deadline passed, or the node did not send the request for a
    /// reason of its own.
    Neutral,
}
