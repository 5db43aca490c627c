use std::net::SocketAddr;

use serde::{
    Deserialize,
    Serialize, //
};

use crate::{
    NodeRecord,
    NodeState,
    wire::wire_error::{
        UnknownStateSnafu,
        WireError, //
    }, //
};

/// A full [`NodeRecord`].
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub(crate) struct NodeItem {
    name: String,
    zone: String,
    region: String,
    gossip_address: SocketAddr,
    /// Absent if equal to the gossip address.
    caller_address: Option<SocketAddr>,
    incarnation: u64,
    state: u8,
}

impl From<&NodeRecord> for NodeItem {
    fn from(record: &NodeRecord) -> Self {
        let differs = record.caller_address != record.gossip_address;
        Self {
            name: record.name.clone(),
            zone: record.zone.clone(),
            region: record.region.clone(),
            gossip_address: record.gossip_address,
            caller_address: differs.then_some(record.caller_address),
            incarnation: record.incarnation,
            state: state_number(record.state),
        }
    }
}

impl TryFrom<NodeItem> for NodeRecord {
    type Error = WireError;

    fn try_from(item: NodeItem) -> Result<Self, Self::Error> {
        Ok(Self {
            name: item.name,
            zone: item.zone,
            region: item.region,
            gossip_address: item.gossip_address,
            caller_address: item.caller_address.unwrap_or(item.gossip_address),
            incarnation: item.incarnation,
            state: state_from_number(item.state)?,
        })
    }
}

/// Encodes `state` as a number.
pub(crate) fn state_number(state: NodeState) -> u8 {
    match state {
        NodeState::Alive => 0,
        NodeState::Suspected => 1,
        NodeState::Leaving => 2,
        NodeState::Down => 3,
    }
}

/// Decodes a state from its number.
pub(crate) fn state_from_number(number: u8) -> Result<NodeState, WireError> {
    match number {
        0 => Ok(NodeState::Alive),
        1 => Ok(NodeState::Suspected),
        2 => Ok(NodeState::Leaving),
        3 => Ok(NodeState::Down),
        _ => UnknownStateSnafu { number }.fail(),
    }
}
