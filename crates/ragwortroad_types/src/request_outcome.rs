use serde::{
    Deserialize,
    Serialize, //
};

/// What is known of a request that got no ordinary answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RequestOutcome {
    /// Not one byte of it can have reached an endpoint.
    NotRun,
    /// It was sent to an endpoint and may have run.
    Unknown,
    /// It ran; its answer is not available here.
    Ran,
}
