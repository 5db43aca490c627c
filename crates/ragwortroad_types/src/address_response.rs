use serde::{
    Deserialize,
    Serialize, //
};

/// Response to a client that asks which addresses to use.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct AddressResponse {
    /// `IP:port` of nodes, best first.
    pub addresses: Vec<String>,
    /// Milliseconds for which the client may cache the response.
    pub keep_ms: u64,
    /// Why these addresses were chosen, in words for a person.
    pub reason: String,
}
