use serde::{
    Deserialize,
    Serialize, //
};

use crate::EndpointTag;

/// Location of a shared prompt prefix: an engine that computes or caches it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
pub struct PrefixLocation {
    /// Key of the prefix.
    pub text: u64,
    /// Tag of the engine.
    pub engine: EndpointTag,
}
