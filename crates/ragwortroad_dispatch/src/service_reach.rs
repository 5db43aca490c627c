use std::{
    collections::{
        BTreeMap,
        BTreeSet, //
    },
    time::Duration, //
};

use ragwortroad_types::prelude::*;

use crate::{
    EndpointKey,
    ready_index::ReadyEndpoint, //
};

/// Number of distinct endpoints without contact after which their service counts as cut off.
const CUT_OFF_THRESHOLD: usize = 3;

/// Interval between probes of a service without contact.
const PROBE_INTERVAL: Duration = Duration::from_millis(500);

/// Tracks which services an edge has lost contact with.
///
/// An edge whose own links fail sees all endpoints of a service fail, while registries and other
/// edges reach them. The edge tells that from the loss of some endpoints by having contact with
/// none: any response from the service clears its record here.
#[derive(Debug, Default)]
pub struct ServiceReach {
    /// Services without contact since a failure.
    services: BTreeMap<String, ContactLoss>,
}

/// Failures of a service's endpoints since the last contact with any of them.
#[derive(Debug)]
struct ContactLoss {
    /// Endpoints to which a connection failed.
    lost: BTreeSet<EndpointKey>,
    /// Endpoints that may be lost, since they responded too late or not at all.
    suspected: BTreeSet<EndpointKey>,
    /// Invariant: false while `lost` has too few endpoints.
    is_cut_off: bool,
    next_probe_at: ClockTime,
}

impl ContactLoss {
    fn new(now: ClockTime) -> Self {
        Self {
            lost: BTreeSet::new(),
            suspected: BTreeSet::new(),
            is_cut_off: false,
            next_probe_at: now,
        }
    }
}

impl ServiceReach {
    /// Returns whether all services are in contact, as they nearly always are.
    pub fn is_clear(&self) -> bool {
        self.services.is_empty()
    }

    /// Records a response from an endpoint of the service; returns whether the service was cut off.
    pub fn note_contact(&mut self, service: &str) -> bool {
        let loss = self.services.remove(service);
        loss.is_some_and(|loss| loss.is_cut_off)
    }

    /// Records an endpoint that may be lost, so that it is probed.
    pub fn note_suspected(&mut self, service: &str, endpoint: EndpointKey, now: ClockTime) {
        self.loss_mut(service, now).suspected.insert(endpoint);
    }

    /// Records that the connection to an endpoint failed; returns whether this made the service cut
    /// off. `available` are the endpoints of the service that accept work.
    ///
    /// Each failure domain of the service must have an endpoint without contact, since the loss of
    /// a domain leaves the others.
    pub fn note_lost(
        &mut self,
        service: &str,
        endpoint: EndpointKey,
        available: &[ReadyEndpoint],
        now: ClockTime,
    ) -> bool {
        let loss = self.loss_mut(service, now);
        loss.lost.insert(endpoint);
        if loss.is_cut_off || loss.lost.len() < CUT_OFF_THRESHOLD.min(available.len()) {
            return false;
        }
        let lost = available
            .iter()
            .filter(|endpoint| loss.lost.contains(&endpoint.key));
        let lost_domains: BTreeSet<_> = lost.map(|endpoint| endpoint.domain).collect();
        let mut available = available.iter();
        loss.is_cut_off = available.all(|endpoint| lost_domains.contains(&endpoint.domain));
        loss.is_cut_off
    }

    /// Returns whether the edge has lost contact with the whole service.
    pub fn is_cut_off(&self, service: &str) -> bool {
        let loss = self.services.get(service);
        loss.is_some_and(|loss| loss.is_cut_off)
    }

    /// Returns the services that are cut off.
    pub fn cut_off(&self) -> impl Iterator<Item = &str> {
        let services = self.services.iter();
        let cut_off = services.filter(|(_, loss)| loss.is_cut_off);
        cut_off.map(|(service, _)| service.as_str())
    }

    /// Returns the services that are due for a probe, and schedules the next ones.
    pub fn take_due(&mut self, now: ClockTime) -> Vec<String> {
        let services = self.services.iter_mut();
        let due = services.filter(|(_, loss)| now >= loss.next_probe_at);
        due.map(|(service, loss)| {
            loss.next_probe_at = now.after(PROBE_INTERVAL);
            service.clone()
        })
        .collect()
    }

    /// Selects the endpoints to probe: a random one of a service that is cut off, and otherwise the
    /// suspected ones and one of each failure domain that has no lost endpoint yet.
    pub fn probe_targets(
        &self,
        service: &str,
        available: &[ReadyEndpoint],
        draw: usize,
    ) -> Vec<EndpointKey> {
        let Some(loss) = self.services.get(service) else {
            return Vec::new();
        };
        let count = available.len().max(1);
        if loss.is_cut_off {
            let target = available.get(draw % count);
            return target.map(|endpoint| endpoint.key).into_iter().collect();
        }
        let is_lost = |endpoint: &&ReadyEndpoint| loss.lost.contains(&endpoint.key);
        let lost = available.iter().filter(is_lost);
        let mut covered: BTreeSet<_> = lost.map(|endpoint| endpoint.domain).collect();
        let suspected = loss.suspected.iter().copied();
        let mut targets: BTreeSet<EndpointKey> = suspected.take(CUT_OFF_THRESHOLD).collect();
        let (end, start) = available.split_at(draw % count);
        let unknown = start.iter().chain(end);
        let unknown = unknown.filter(|endpoint| !is_lost(endpoint));
        for endpoint in unknown {
            let is_needed = targets.len() + loss.lost.len() < CUT_OFF_THRESHOLD;
            if covered.insert(endpoint.domain) || is_needed {
                targets.insert(endpoint.key);
            }
        }
        targets.into_iter().collect()
    }

    fn loss_mut(&mut self, service: &str, now: ClockTime) -> &mut ContactLoss {
        let loss = self.services.entry(service.to_owned());
        loss.or_insert_with(|| ContactLoss::new(now))
    }
}
