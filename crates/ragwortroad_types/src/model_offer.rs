use serde::{
    Deserialize,
    Serialize, //
};

/// A version of a model that is ready to serve on an engine.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct ModelOffer {
    /// Name of the model.
    pub model: String,
    /// Name of the version.
    pub version: String,
    /// Names of the adapters loaded for the model.
    #[serde(default)]
    pub adapters: Vec<String>,
}
