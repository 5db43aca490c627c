/// A client's request for the node addresses to use.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AddressCall {
    /// SHA-256 of the customer's API key.
    pub key_hash: [u8; 32],
    /// The chat that the client is about to continue; `None` if the client named none.
    pub chat: Option<String>,
    /// The placement hint from the previous response of the chat, as the client sent it.
    pub hint: Option<String>,
}
