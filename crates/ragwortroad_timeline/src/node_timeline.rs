use serde::{
    Deserialize,
    Serialize, //
};
use snafu::ResultExt;

use crate::{
    FleetEvent,
    TimelineError,
    timeline_error::MalformedTimelineSnafu, //
};

/// One node's part of a time line, as it travels between nodes.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct NodeTimeline {
    /// The node's name.
    pub node: String,
    /// Its failure domain (zone).
    pub zone: String,
    /// Its events, oldest first.
    pub events: Vec<FleetEvent>,
    /// Events of requests that its ring pushed out since it started.
    pub lost_traffic: u64,
    /// Other events that its ring pushed out since it started.
    pub lost_control: u64,
    /// Older events that were left out because too many passed the filter.
    pub left_out: u64,
}

impl NodeTimeline {
    /// The form in which it travels.
    pub fn to_bytes(&self) -> Vec<u8> {
        serde_json::to_vec(self).unwrap_or_default()
    }

    /// Reads the form in which it travels.
    pub fn from_bytes(bytes: &[u8]) -> Result<Self, TimelineError> {
        serde_json::from_slice(bytes).context(MalformedTimelineSnafu)
    }

    /// The same without customers' names and chats, for readers who may not know them.
    pub fn redact_customers(mut self) -> Self {
        for event in &mut self.events {
            event.customer = None;
            event.chat = None;
        }
        self
    }
}
