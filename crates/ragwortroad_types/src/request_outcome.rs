use serde::{
    Deserialize,
    Serialize, //
};

/// What is known about the execution of a request that got no regular response.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RequestOutcome {
    /// No byte of it can have reached an endpoint.
    NotRun,
    /// It was sent to an endpoint and may have run.
    Unknown,
    /// It ran, but its response is not available here.
    Ran,
}
