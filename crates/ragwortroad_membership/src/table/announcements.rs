//! Handling of announcements that endpoints send to this node.

use std::net::SocketAddr;

use ragwortroad_types::prelude::*;

use crate::{
    CoarseLoad,
    EndpointPresence,
    EndpointRecord,
    GossipAction,
    MembershipTable,
    endpoint_table::{
        EndpointEntry,
        LoadUpdate, //
    },
    flap_penalty::FlapPenalty,
    home_claim::HomeClaim,
    pending_queue::UpdatePriority,
    record_key::UpdateKey, //
};

/// Minimum interval between two records of a damped endpoint, as a multiple of the minimum load
/// interval.
const DAMPED_INTERVAL_FACTOR: u32 = 3;

impl MembershipTable {
    /// Processes an announcement.
    pub(super) fn handle_announcement(&mut self, announce: &AnnounceWire, now: ClockTime) {
        let id = EndpointId::from_name(&announce.name);
        let address: Result<SocketAddr, _> = announce.address.parse();
        let (Ok(address), false) = (address, self.is_stale(id, announce)) else {
            self.stats.announcements_ignored += 1;
            return;
        };
        self.stats.announcements += 1;
        let before = self.home_state(id, now);
        self.renew_claim(id, announce, now);
        self.publish_record(id, announce, address, now);
        let after = self.home_state(id, now);
        if std::mem::discriminant(&before) != std::mem::discriminant(&after) {
            self.actions.push(GossipAction::HomeChanged(id));
        }
    }

    /// Whether an announcement is older than what is already known.
    ///
    /// An announcement that was delayed, or that this process handles after a pause, may be
    /// outdated: the endpoint may have switched to another node since. Accepting it would create
    /// two homes.
    fn is_stale(&self, id: EndpointId, announce: &AnnounceWire) -> bool {
        let announced_version = (announce.incarnation, announce.home_epoch);
        if let Some(claim) = self.claims.get(&id) {
            let claimed_version = (claim.incarnation, claim.epoch);
            let is_repeated =
                announced_version == claimed_version && announce.sequence <= claim.sequence;
            if announced_version < claimed_version
                || is_repeated
                || (announced_version == claimed_version && claim.ended)
            {
                return true;
            }
        }
        self.endpoints.record(id).is_some_and(|record| {
            let known = (record.incarnation, record.home_epoch);
            let is_foreign = record.home != self.own;
            let is_old = announce.incarnation == record.incarnation
                && announce.sequence <= record.sequence
                && is_foreign;
            announced_version < known || is_old
        })
    }

    /// Renews the existing claim or creates a new one.
    fn renew_claim(&mut self, id: EndpointId, announce: &AnnounceWire, now: ClockTime) {
        let lease = self.settings.home_lease;
        if let Some(claim) = self.claims.get_mut(&id)
            && (claim.incarnation, claim.epoch) == (announce.incarnation, announce.home_epoch)
        {
            claim.renew(announce.sequence, now, lease);
            claim.load = announce.load;
            return;
        }
        let claim = self.new_claim(id, announce, now);
        self.claims.insert(id, claim);
        self.request_handover(id, now);
    }

    /// Creates the claim for an endpoint that has switched to this node.
    fn new_claim(&self, id: EndpointId, announce: &AnnounceWire, now: ClockTime) -> HomeClaim {
        let (exclusive_from, previous_home) = self.takeover(id, announce, now);
        HomeClaim {
            incarnation: announce.incarnation,
            epoch: announce.home_epoch,
            sequence: announce.sequence,
            responded_at: now,
            held_since: now,
            exclusive_from,
            lease_end: None,
            previous_home,
            last_handover_request: None,
            ended: self.leaving,
            penalty: self.flap_penalty(id, announce, now),
            load_published_at: ClockTime::ZERO,
            load: announce.load,
            published: false,
        }
    }

    /// Returns the endpoint's flap penalty, including a restart that this announcement reveals.
    fn flap_penalty(&self, id: EndpointId, announce: &AnnounceWire, now: ClockTime) -> FlapPenalty {
        let half_life = self.settings.flap_half_life;
        let Some(entry) = self.endpoints.get(id) else {
            return FlapPenalty::from_quarters(0, now);
        };
        let mut penalty = match self.claims.get(&id) {
            Some(claim) if entry.record.home == self.own => claim.penalty,
            _ => FlapPenalty::from_quarters(entry.record.flaps, entry.updated_at),
        };
        let restarted = announce.incarnation > entry.record.incarnation;
        if restarted || entry.record.presence == EndpointPresence::Gone {
            penalty.add(now, half_life);
        }
        penalty
    }

    /// Publishes the changes that an announcement brings.
    fn publish_record(
        &mut self,
        id: EndpointId,
        announce: &AnnounceWire,
        address: SocketAddr,
        now: ClockTime,
    ) {
        self.count_endpoint_return(id, now);
        let Some(claim) = self.claims.get(&id) else {
            return;
        };
        let known = self.endpoints.get(id);
        let record = self.build_record(claim, announce, address, now);
        if known.is_some_and(|known| known.record.same_metadata(&record)) {
            self.publish_load(id, now);
            return;
        }
        // Restarts of a flapping endpoint are combined into one record per interval.
        let interval = self.settings.min_load_interval * DAMPED_INTERVAL_FACTOR;
        let is_delayed =
            |known: &EndpointEntry| known.record.damped && now.since(known.updated_at) < interval;
        if record.damped && !announce.leaving && known.is_some_and(is_delayed) {
            return;
        }
        if let Some(claim) = self.claims.get_mut(&id) {
            claim.published = true;
            claim.load_published_at = now;
        }
        self.change_endpoint(record, None, now);
    }

    /// Counts the reappearance of an endpoint that this node had considered gone.
    fn count_endpoint_return(&mut self, id: EndpointId, now: ClockTime) {
        let Some(record) = self.endpoints.record(id) else {
            return;
        };
        let gone = record.presence == EndpointPresence::Gone;
        let half_life = self.settings.flap_half_life;
        if let Some(claim) = self.claims.get_mut(&id)
            && gone
            && record.home == self.own
            && record.incarnation == claim.incarnation
            && claim.published
        {
            claim.penalty.add(now, half_life);
        }
    }

    /// Builds the endpoint's record from an announcement.
    fn build_record(
        &self,
        claim: &HomeClaim,
        announce: &AnnounceWire,
        address: SocketAddr,
        now: ClockTime,
    ) -> EndpointRecord {
        let settings = &self.settings;
        let id = EndpointId::from_name(&announce.name);
        let was_damped = self
            .endpoints
            .record(id)
            .is_some_and(|record| record.damped);
        let penalty = claim.penalty.decayed(now, settings.flap_half_life);
        let threshold = if was_damped {
            settings.flap_reuse_threshold
        } else {
            settings.flap_suppress_threshold
        };
        let presence = if announce.leaving {
            EndpointPresence::Leaving
        } else {
            EndpointPresence::Present
        };
        EndpointRecord {
            id,
            name: announce.name.clone(),
            address,
            kind: announce.kind,
            zone: announce.zone.clone(),
            service: announce.service.clone(),
            models: announce.models.clone(),
            capacity: announce.capacity,
            checks_fencing: announce.checks_fencing,
            build: announce.build.clone(),
            incarnation: announce.incarnation,
            sequence: announce.sequence,
            home_epoch: announce.home_epoch,
            home: self.own,
            presence,
            damped: penalty >= threshold,
            flaps: claim.penalty.quarters(now, settings.flap_half_life),
            load: CoarseLoad::new(&announce.load, announce.capacity),
            load_sequence: announce.sequence,
        }
    }

    /// Publishes the endpoint's load if it has changed enough.
    fn publish_load(&mut self, id: EndpointId, now: ClockTime) {
        let interval = self.settings.min_load_interval;
        let Some(record) = self.endpoints.record(id) else {
            return;
        };
        let Some(claim) = self.claims.get_mut(&id) else {
            return;
        };
        if !claim.should_publish_load(record.load, record.capacity, now, interval) {
            return;
        }
        claim.load_published_at = now;
        let load = LoadUpdate {
            incarnation: record.incarnation as u8,
            sequence: claim.sequence,
            load: CoarseLoad::new(&claim.load, record.capacity),
        };
        if self.endpoints.put_load(id, &load) {
            self.stats.load_updates_published += 1;
            self.broadcast(UpdateKey::Load(id), UpdatePriority::Load, None);
            self.actions.push(GossipAction::EndpointLoadChanged(id));
        }
    }
}
