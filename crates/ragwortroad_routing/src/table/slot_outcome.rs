/// How the request of a slot ended, as far as it tells about the endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum SlotOutcome {
    /// A complete answer that is not a server error.
    Succeeded,
    /// A server error, a broken answer, or no connection.
    Failed,
    /// The caller left, the deadline passed, or the node did not send the request for a reason of
    /// its own.
    Neutral,
}
