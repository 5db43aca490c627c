use serde::{
    Deserialize,
    Serialize, //
};

/// A model, in one version, that an engine holds ready.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct ModelOffer {
    /// The model's name.
    pub model: String,
    /// The version's name.
    pub version: String,
    /// Adapters loaded for it.
    #[serde(default)]
    pub adapters: Vec<String>,
}
