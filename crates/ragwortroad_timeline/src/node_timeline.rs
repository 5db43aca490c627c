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

/// One node's part of a timeline, as nodes send it to each other.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct NodeTimeline {
    /// Name of the node.
    pub node: String,
    /// Failure domain (zone) of the node.
    pub zone: String,
    /// The matching events, oldest first.
    pub events: Vec<FleetEvent>,
    /// Events of requests, chats and claims that the node's ring evicted since the node started.
    pub lost_traffic: u64,
    /// Other events that the node's ring evicted since the node started.
    pub lost_control: u64,
    /// Older events that were left out because more events matched the filter than the limit
    /// allows.
    pub left_out: u64,
}

impl NodeTimeline {
    /// Encodes the events for sending to another node.
    pub fn to_bytes(&self) -> Vec<u8> {
        serde_json::to_vec(self).unwrap_or_default()
    }

    /// Decodes the output of [`Self::to_bytes`].
    ///
    /// # Errors
    ///
    /// [`TimelineError::MalformedTimeline`] if `bytes` do not decode.
    pub fn from_bytes(bytes: &[u8]) -> Result<Self, TimelineError> {
        serde_json::from_slice(bytes).context(MalformedTimelineSnafu)
    }

    /// Removes customer names and chats, for readers without permission to see them.
    pub fn redact_customers(mut self) -> Self {
        for event in &mut self.events {
            event.customer = None;
            event.chat = None;
        }
        self
    }
}
