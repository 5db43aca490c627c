/// A command in the operators' language.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OperatorCall {
    /// SHA-256 of the operator's key.
    pub key_hash: [u8; 32],
    /// The command line as typed.
    pub line: String,
    /// Whether the command may change state (`change`) or only query it (`ask`).
    pub may_change: bool,
    /// Identifies the change, so that a resent command returns the outcome of the first.
    pub change_id: Option<String>,
}

/// The response to an [`OperatorCall`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OperatorResponse {
    /// HTTP status.
    pub status: u16,
    /// The response body, a JSON object.
    pub body: String,
}
