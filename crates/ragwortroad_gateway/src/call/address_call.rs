/// A caller's question which addresses to use.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AddressCall {
    /// SHA-256 of the customer's key.
    pub key_hash: [u8; 32],
    /// The chat that the caller is about to continue, if it said so.
    pub chat: Option<String>,
    /// The placement hint that came with the chat's previous answer, as the caller sent it.
    pub hint: Option<String>,
}
