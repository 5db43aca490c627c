use std::net::{
    Ipv4Addr,
    SocketAddr, //
};

use ragwortroad_types::prelude::*;
use serde::{
    Deserialize,
    Serialize, //
};

use crate::EndpointDeparture;

/// Contents of an endpoint's announcement.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct EndpointRecord {
    /// Name of this incarnation; a restart usually draws a new one.
    pub name: String,
    /// Name of the service that it provides.
    pub service: String,
    /// Address on which it accepts requests.
    pub address: SocketAddr,
    /// Failure domain of the endpoint.
    pub zone: String,
    /// Version of its software; empty if it announces none.
    pub version: String,
    /// Requests that it processes concurrently.
    pub slots: u32,
    /// Whether it accepts new work.
    pub stage: EndpointStage,
    /// Start of this incarnation in Unix milliseconds; 0 if it is unknown.
    pub started_ms: u64,
    /// Sequence number of the announcement within the incarnation.
    pub sequence: u64,
    /// Milliseconds until the endpoint is warm; 0 if it is.
    pub warming_ms: u32,
}

/// Lifecycle stage of an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum EndpointStage {
    /// It accepts new work.
    Ready,
    /// It finishes its requests and then leaves.
    Draining,
    /// It has left.
    Gone,
}

impl EndpointRecord {
    /// Returns the record of an endpoint of which only the departure is known.
    pub fn departed(departure: &EndpointDeparture) -> Self {
        Self {
            name: departure.name.clone(),
            service: String::new(),
            address: (Ipv4Addr::UNSPECIFIED, 0).into(),
            zone: String::new(),
            version: String::new(),
            slots: 0,
            stage: EndpointStage::Gone,
            started_ms: departure.started_ms,
            sequence: 0,
            warming_ms: 0,
        }
    }

    /// Returns whether a departure concerns the start in this record.
    ///
    /// A departure of an unknown start is taken for one of the known start: clocks differ, and an
    /// endpoint would otherwise receive requests after its goodbye.
    pub(crate) fn is_covered_by(&self, departure: &EndpointDeparture) -> bool {
        !departure.is_start_known || self.started_ms <= departure.started_ms
    }

    /// Applies a departure that concerns this record.
    pub(crate) fn mark_gone(&mut self, departure: &EndpointDeparture) {
        // A start that has left already cannot be the one that leaves now.
        if departure.is_start_known || self.stage == EndpointStage::Gone {
            self.started_ms = self.started_ms.max(departure.started_ms);
        }
        self.stage = EndpointStage::Gone;
    }

    /// Returns the key of this run of the endpoint's process.
    pub fn incarnation(&self) -> IncarnationKey {
        IncarnationKey::new(&self.name, self.started_ms)
    }

    /// Returns the sort key of announcements under one name: a later start is newer, then a higher
    /// sequence number.
    pub fn freshness(&self) -> (u64, u64) {
        (self.started_ms, self.sequence)
    }
}
