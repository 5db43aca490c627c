//! Claims to be the home of an endpoint, and handovers between homes.

use std::time::Duration;

use ragwortroad_types::prelude::*;

use crate::{
    EndpointPresence,
    EndpointRecord,
    GossipAction,
    HomeState,
    MembershipTable,
    wire::wire_item::{
        HandoverAskItem,
        HandoverItem,
        WireItem, //
    }, //
};

/// Minimum interval between two handover requests to a previous home.
const HANDOVER_REQUEST_INTERVAL: Duration = Duration::from_millis(200);

impl MembershipTable {
    /// Returns which node is the home of `endpoint`.
    pub fn home_state(&self, endpoint: EndpointId, now: ClockTime) -> HomeState {
        if let Some(claim) = self.claims.get(&endpoint)
            && let Some(state) = claim.state(now)
        {
            return state;
        }
        match self.endpoints.record(endpoint) {
            Some(record) if record.home != self.own => HomeState::Elsewhere { home: record.home },
            _ => HomeState::Unknown,
        }
    }

    /// Returns the exact load that `endpoint` last reported to this node; absent if it never
    /// announced itself here.
    pub fn home_load(&self, endpoint: EndpointId) -> Option<LoadReport> {
        self.claims.get(&endpoint).map(|claim| claim.load)
    }

    /// Returns when the leases of all earlier homes have ended, and the previous home whose reply
    /// can shorten that wait.
    pub(super) fn takeover(
        &self,
        id: EndpointId,
        announce: &AnnounceWire,
        now: ClockTime,
    ) -> (ClockTime, Option<NodeId>) {
        let wait = now.after(self.settings.takeover_wait());
        let (incarnation, epoch) = (announce.incarnation, announce.home_epoch);
        // This node was the home in the previous epoch, so it already knows when all earlier leases
        // have ended.
        if let Some(claim) = self.claims.get(&id)
            && claim.incarnation == incarnation
            && claim.epoch + 1 == epoch
        {
            return (claim.exclusive_from.min(wait), None);
        }
        let Some(record) = self.endpoints.record(id) else {
            // In epoch 0 the endpoint has not switched homes in this incarnation, so there is no
            // earlier home.
            return (if epoch == 0 { now } else { wait }, None);
        };
        if record.incarnation != incarnation {
            return (if epoch == 0 { now } else { wait }, None);
        }
        if record.home_epoch + 1 != epoch {
            let is_own = epoch == 0 && record.home_epoch == 0 && record.home == self.own;
            return (if is_own { now } else { wait }, None);
        }
        if record.presence == EndpointPresence::Released {
            return (now, None);
        }
        (wait, Some(record.home).filter(|home| *home != self.own))
    }

    /// Requests a handover from the previous home, unless that was done recently or is no longer
    /// useful.
    pub(super) fn request_handover(&mut self, id: EndpointId, now: ClockTime) {
        let Some(claim) = self.claims.get_mut(&id) else {
            return;
        };
        let recently = claim
            .last_handover_request
            .is_some_and(|at| now.since(at) < HANDOVER_REQUEST_INTERVAL);
        let is_resolved = claim.ended || claim.exclusive_from <= now;
        let Some(previous_home) = claim.previous_home.filter(|_| !recently && !is_resolved) else {
            return;
        };
        claim.last_handover_request = Some(now);
        let item = WireItem::HandoverAsk(HandoverAskItem {
            endpoint: id.0,
            incarnation: claim.incarnation,
            epoch: claim.epoch,
        });
        if self.nodes.state(previous_home).is_present() {
            self.open_link(previous_home, now).push_direct(item);
        }
    }

    /// Ends this node's claim, as the endpoint has switched to `from`, and replies with the
    /// remaining wait for earlier homes.
    pub(super) fn answer_handover(&mut self, from: NodeId, item: HandoverAskItem, now: ClockTime) {
        let id = EndpointId(item.endpoint);
        let Some(claim) = self.claims.get_mut(&id) else {
            return;
        };
        // Only the home of the directly preceding epoch can guarantee that there was no other home
        // in between.
        if claim.incarnation != item.incarnation || claim.epoch + 1 != item.epoch {
            return;
        }
        if !claim.ended {
            claim.ended = true;
            self.actions.push(GossipAction::HomeChanged(id));
        }
        let wait = claim.exclusive_from.since(now);
        let reply = WireItem::Handover(HandoverItem {
            endpoint: id.0,
            incarnation: claim.incarnation,
            epoch: claim.epoch,
            wait_ms: wait.as_millis() as u64,
        });
        self.open_link(from, now).push_direct(reply);
    }

    /// Processes the previous home's reply to a handover request.
    pub(super) fn handle_handover(&mut self, from: NodeId, item: HandoverItem, now: ClockTime) {
        let id = EndpointId(item.endpoint);
        let drift = self.settings.clock_drift.clamp(0.0, 0.5);
        let Some(claim) = self.claims.get_mut(&id) else {
            return;
        };
        let matches_claim = claim.incarnation == item.incarnation && claim.epoch == item.epoch + 1;
        if !matches_claim || claim.previous_home != Some(from) {
            return;
        }
        claim.previous_home = None;
        // The wait was measured by a clock that may run slower than the local one.
        let wait = (item.wait_ms as f64 * (1.0 + drift) / (1.0 - drift)).ceil() as u64;
        let exclusive_from = match wait {
            0 => now,
            wait => now.after(Duration::from_millis(wait + 2)),
        };
        if exclusive_from < claim.exclusive_from {
            claim.exclusive_from = exclusive_from;
            self.actions.push(GossipAction::HomeChanged(id));
        }
    }

    /// Ends this node's claim if `record` shows that the endpoint has switched to another home.
    pub(super) fn end_superseded_claim(&mut self, record: &EndpointRecord) {
        let Some(claim) = self.claims.get_mut(&record.id) else {
            return;
        };
        let newer = (record.incarnation, record.home_epoch) > (claim.incarnation, claim.epoch);
        if newer && !claim.ended {
            claim.ended = true;
            self.actions.push(GossipAction::HomeChanged(record.id));
        }
    }

    /// Ends all claims, and publishes the release of those whose next home then need not wait.
    pub(super) fn release_claims(&mut self, now: ClockTime) {
        let ids: Vec<EndpointId> = self.claims.keys().copied().collect();
        for id in ids {
            let Some(claim) = self.claims.get_mut(&id) else {
                continue;
            };
            if claim.ended {
                continue;
            }
            claim.ended = true;
            self.actions.push(GossipAction::HomeChanged(id));
            let is_exclusive = claim.exclusive_from <= now;
            self.publish_claim_end(id, EndpointPresence::Released, is_exclusive, now);
        }
    }

    /// Publishes the end of this node's claim to `id`, if `should_publish` is set and the
    /// current record is from this claim.
    fn publish_claim_end(
        &mut self,
        id: EndpointId,
        presence: EndpointPresence,
        should_publish: bool,
        now: ClockTime,
    ) {
        let (Some(claim), Some(record)) = (self.claims.get(&id), self.endpoints.record(id)) else {
            return;
        };
        let is_own = record.home == self.own
            && (record.incarnation, record.home_epoch) == (claim.incarnation, claim.epoch);
        let leaving =
            record.presence == EndpointPresence::Leaving && presence == EndpointPresence::Released;
        if should_publish && is_own && !leaving {
            let record = EndpointRecord {
                presence,
                sequence: claim.sequence.max(record.sequence),
                flaps: claim.penalty.quarters(now, self.settings.flap_half_life),
                ..record.clone()
            };
            self.change_endpoint(record, None, now);
        }
    }

    /// Requests pending handovers, and publishes silent endpoints as gone.
    pub(super) fn update_claims(&mut self, now: ClockTime) {
        let ids: Vec<EndpointId> = self.claims.keys().copied().collect();
        for id in ids {
            self.request_handover(id, now);
            self.expire_silent_endpoint(id, now);
        }
    }

    /// Publishes a silent endpoint as gone.
    fn expire_silent_endpoint(&mut self, id: EndpointId, now: ClockTime) {
        let Some(claim) = self.claims.get(&id) else {
            return;
        };
        if claim.ended || now.since(claim.responded_at) < self.settings.endpoint_timeout {
            return;
        }
        let record = self.endpoints.record(id);
        if record.is_some_and(|record| record.presence != EndpointPresence::Gone) {
            self.publish_claim_end(id, EndpointPresence::Gone, true, now);
        }
    }

    /// Publishes endpoints as gone whose record names this node as home, but which have never
    /// announced themselves to this process.
    pub(super) fn expire_orphans(&mut self, now: ClockTime) {
        let timeout = self.settings.endpoint_timeout;
        let in_startup = self.started.is_none_or(|at| now.since(at) < timeout);
        if in_startup {
            return;
        }
        let orphans: Vec<EndpointRecord> = self
            .endpoints
            .iter()
            .filter(|(id, _)| !self.claims.contains_key(id))
            .filter(|(_, entry)| entry.record.home == self.own)
            .filter(|(_, entry)| entry.record.presence != EndpointPresence::Gone)
            .filter(|(_, entry)| now.since(entry.updated_at) >= timeout)
            .map(|(_, entry)| entry.record.clone())
            .collect();
        for record in orphans {
            let record = EndpointRecord {
                presence: EndpointPresence::Gone,
                ..record
            };
            self.change_endpoint(record, None, now);
        }
    }
}
