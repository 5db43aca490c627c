/// How the request of a slot ended, as far as it says something of the endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum SlotOutcome {
    /// A whole answer that is no server error.
    Succeeded,
    /// A server error, a broken answer, or no connection.
    Failed,
    /// The caller left, the deadline passed, or nothing was sent for a reason of our own.
    Neutral,
}
