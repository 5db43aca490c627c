use serde::{
    Deserialize,
    Serialize, //
};

use crate::EndpointTag;

/// What edges tell each other of an endpoint besides its requests in flight.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct EndpointFigures {
    /// The endpoint.
    pub endpoint: EndpointTag,
    /// How long work takes there now, in percent of the usual time.
    pub time_percent: u16,
    /// Age of that figure in milliseconds when the message was sent.
    pub age_ms: u16,
}
