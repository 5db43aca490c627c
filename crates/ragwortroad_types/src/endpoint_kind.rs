use serde::{
    Deserialize,
    Serialize, //
};

/// The kind of an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EndpointKind {
    /// Serves models, and caches prompt prefixes.
    Engine,
    /// A plain service, reached by path; some of its requests are not idempotent.
    Service,
}
