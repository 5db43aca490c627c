use serde::{
    Deserialize,
    Serialize, //
};

/// The departure of an endpoint and of its earlier starts.
///
/// A goodbye contains only the endpoint's name, so the registry that receives it adds which start
/// it is from.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct EndpointDeparture {
    /// Name of the endpoint.
    pub name: String,
    /// Start that has left in Unix milliseconds. If it is unknown: when the goodbye was received,
    /// which is later than that start and earlier than the next one under this name.
    pub started_ms: u64,
    /// Whether the registry that received the goodbye knew the start.
    pub is_start_known: bool,
}
