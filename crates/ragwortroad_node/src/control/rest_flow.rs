//! Rests that endpoints ask this node for.

use std::time::Duration;

use ragwortroad_membership::prelude::*;
use ragwortroad_routing::prelude::*;
use ragwortroad_types::prelude::*;

use crate::control::{
    control_state::ControlState,
    endpoint_flow::offers, //
};

impl ControlState {
    /// Records that an endpoint wants no request from this node for some time.
    pub(crate) fn note_rest(&mut self, endpoint: EndpointId, rest: Duration, now: ClockTime) {
        let Some(record) = self.membership.endpoint(endpoint) else {
            return;
        };
        tracing::info!(
            endpoint = record.name,
            rest_ms = rest.as_millis() as u64,
            "endpoint asks for rest"
        );
        let key = incarnation(record);
        self.rests.note_rest(key, rest, now);
    }

    /// Endpoints that want no request from this node now.
    pub(crate) fn resting_endpoints(&self, now: ClockTime) -> Vec<EndpointId> {
        if self.rests.is_empty() {
            return Vec::new();
        }
        let endpoints = self.membership.endpoints();
        let resting = endpoints.filter(|record| self.rest_of(record, now).is_some());
        resting.map(|record| record.id).collect()
    }

    /// Time until the first endpoint with an offer takes requests again; `None` unless all of its
    /// available endpoints want a rest.
    pub(crate) fn rest_left(&self, offer: OfferKey, now: ClockTime) -> Option<Duration> {
        if self.rests.is_empty() {
            return None;
        }
        let mut shortest = None;
        for record in self.membership.available_endpoints() {
            if offers(record).contains(&offer) {
                let rest = self.rest_of(record, now)?;
                shortest = Some(shortest.map_or(rest, |shortest: Duration| shortest.min(rest)));
            }
        }
        shortest
    }

    fn rest_of(&self, record: &EndpointRecord, now: ClockTime) -> Option<Duration> {
        self.rests.rest_left(incarnation(record), now)
    }
}

fn incarnation(record: &EndpointRecord) -> IncarnationKey {
    IncarnationKey::new(&record.name, record.incarnation)
}
