use serde::{
    Deserialize,
    Serialize, //
};

/// The answer to a caller's question which addresses to use.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct AddressResponse {
    /// `IP:port` of nodes, best first.
    pub addresses: Vec<String>,
    /// Milliseconds the caller may keep the answer.
    pub keep_ms: u64,
    /// Why these, for a person.
    pub reason: String,
}
