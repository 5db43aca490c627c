/// A line of the operators' language.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OperatorCall {
    /// SHA-256 of the operator's key.
    pub key_hash: [u8; 32],
    /// The line as typed.
    pub line: String,
    /// Whether the caller wants a question answered only (`ask`) or a change made (`change`).
    pub may_change: bool,
    /// Identity of the change, so that a resend returns the first outcome.
    pub change_id: Option<String>,
}

/// The answer to an [`OperatorCall`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OperatorResponse {
    /// HTTP status.
    pub status: u16,
    /// A JSON object.
    pub body: String,
}
