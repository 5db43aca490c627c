use std::net::SocketAddr;

use ragwortroad_types::prelude::*;
use serde::{
    Deserialize,
    Serialize, //
};

use crate::{
    CoarseLoad,
    EndpointPresence,
    EndpointRecord,
    wire::wire_error::{
        UnknownStateSnafu,
        WireError, //
    }, //
};

/// A full [`EndpointRecord`]; its identity is derived from the name.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub(crate) struct EndpointItem {
    name: String,
    address: SocketAddr,
    kind: EndpointKind,
    zone: String,
    service: Option<String>,
    models: Vec<ModelOffer>,
    capacity: u32,
    checks_fencing: bool,
    build: Option<String>,
    incarnation: u64,
    sequence: u64,
    home_epoch: u64,
    #[serde(with = "postcard::fixint::le")]
    home: u64,
    presence: u8,
    damped: bool,
    flaps: u8,
    load: u8,
    /// Sequence number of the load minus that of the record.
    load_lead: u64,
}

impl From<&EndpointRecord> for EndpointItem {
    fn from(record: &EndpointRecord) -> Self {
        Self {
            name: record.name.clone(),
            address: record.address,
            kind: record.kind,
            zone: record.zone.clone(),
            service: record.service.clone(),
            models: record.models.clone(),
            capacity: record.capacity,
            checks_fencing: record.checks_fencing,
            build: record.build.clone(),
            incarnation: record.incarnation,
            sequence: record.sequence,
            home_epoch: record.home_epoch,
            home: record.home.0,
            presence: presence_number(record.presence),
            damped: record.damped,
            flaps: record.flaps,
            load: record.load.0,
            load_lead: record.load_sequence.saturating_sub(record.sequence),
        }
    }
}

impl TryFrom<EndpointItem> for EndpointRecord {
    type Error = WireError;

    fn try_from(item: EndpointItem) -> Result<Self, Self::Error> {
        Ok(Self {
            id: EndpointId::from_name(&item.name),
            name: item.name,
            address: item.address,
            kind: item.kind,
            zone: item.zone,
            service: item.service,
            models: item.models,
            capacity: item.capacity,
            checks_fencing: item.checks_fencing,
            build: item.build,
            incarnation: item.incarnation,
            sequence: item.sequence,
            home_epoch: item.home_epoch,
            home: NodeId(item.home),
            presence: presence_from_number(item.presence)?,
            damped: item.damped,
            flaps: item.flaps,
            load: CoarseLoad(item.load),
            load_sequence: item.sequence.saturating_add(item.load_lead),
        })
    }
}

/// Encodes `presence` as a number.
fn presence_number(presence: EndpointPresence) -> u8 {
    match presence {
        EndpointPresence::Present => 0,
        EndpointPresence::Leaving => 1,
        EndpointPresence::Released => 2,
        EndpointPresence::Gone => 3,
    }
}

/// Decodes a presence from its number.
fn presence_from_number(number: u8) -> Result<EndpointPresence, WireError> {
    match number {
        0 => Ok(EndpointPresence::Present),
        1 => Ok(EndpointPresence::Leaving),
        2 => Ok(EndpointPresence::Released),
        3 => Ok(EndpointPresence::Gone),
        _ => UnknownStateSnafu { number }.fail(),
    }
}
