use serde::{
    Deserialize,
    Serialize, //
};

use crate::EndpointTag;

/// A shared text that an engine is reading.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
pub struct PrefixLocation {
    /// Identity of the text.
    pub text: u64,
    /// The engine.
    pub engine: EndpointTag,
}
