use serde::{
    Deserialize,
    Serialize, //
};

use crate::{
    IncarnationKey,
    RequestDigest, //
};

/// What one process of the fleet observed of a request under which endpoints have crashed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct CrashReport {
    /// Content of the request.
    pub digest: RequestDigest,
    /// How the run ended.
    pub end: RunEnd,
    /// Time from the end of the run to the sending of this report, in milliseconds.
    pub age_ms: u32,
}

/// How an endpoint's run of a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum RunEnd {
    /// The endpoint's process crashed.
    Crashed(IncarnationKey),
    /// The response was complete.
    Completed,
}
