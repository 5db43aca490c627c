use serde::{
    Deserialize,
    Serialize, //
};

/// What an endpoint does with a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EndpointKind {
    /// Serves models; caches prompt prefixes.
    Engine,
    /// A plain service, reached by path; some of its calls are not idempotent.
    Service,
}
