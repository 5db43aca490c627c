//! Decision on which node an endpoint should announce itself to.

use std::time::Duration;

use ragwortroad_types::prelude::*;

use crate::{
    HomeState,
    MembershipTable,
    NodeState,
    home_selector::{
        HomeCandidate,
        HomeSelector, //
    }, //
};

/// Maximum number of addresses in the response to an announcement.
const MAX_ANNOUNCE_ADDRESSES: usize = 4;
/// Announcement interval for an endpoint whose home is not confirmed yet, or which should switch to
/// another home.
const FAST_ANNOUNCE_INTERVAL: Duration = Duration::from_millis(100);

impl MembershipTable {
    /// Returns the node that should be the home of `endpoint` in `zone`. The current home is kept
    /// as long as it is suitable.
    pub fn preferred_home(&self, endpoint: EndpointId, zone: &str, now: ClockTime) -> NodeId {
        self.ranked_homes(endpoint, zone, now)
            .first()
            .copied()
            .unwrap_or(self.own)
    }

    /// Builds the response to an announcement of `endpoint`. Call it after [`handle`](Self::handle)
    /// has processed the announcement.
    pub fn announce_response(&self, endpoint: EndpointId, now: ClockTime) -> AnnounceResponse {
        let zone = self
            .endpoints
            .record(endpoint)
            .map_or("", |record| record.zone.as_str());
        let homes = self.ranked_homes(endpoint, zone, now);
        let should_stay = homes.first() == Some(&self.own);
        let confirmed = matches!(self.home_state(endpoint, now), HomeState::Home { .. });
        let announce_to = homes
            .iter()
            .filter_map(|id| self.nodes.record(*id))
            .map(|record| record.caller_address.to_string())
            .collect();
        let interval = if should_stay && confirmed {
            self.settings.announce_interval
        } else {
            FAST_ANNOUNCE_INTERVAL
        };
        AnnounceResponse {
            announce_to,
            every_ms: interval.as_millis() as u64,
        }
    }

    /// Returns the nodes that `endpoint` should announce itself to, best first.
    fn ranked_homes(&self, endpoint: EndpointId, zone: &str, now: ClockTime) -> Vec<NodeId> {
        let selector = self.home_selector(now);
        let mut ranked = selector.ranked_nodes(endpoint, zone, MAX_ANNOUNCE_ADDRESSES);
        let home = self.endpoints.record(endpoint).map(|record| record.home);
        let Some(home) = home else {
            return ranked;
        };
        if self.should_stay(endpoint, zone, home, &selector, now) {
            ranked.retain(|node| *node != home);
            ranked.insert(0, home);
            ranked.truncate(MAX_ANNOUNCE_ADDRESSES);
        }
        ranked
    }

    /// Whether `endpoint` should keep its current home.
    fn should_stay(
        &self,
        endpoint: EndpointId,
        zone: &str,
        home: NodeId,
        selector: &HomeSelector<'_>,
        now: ClockTime,
    ) -> bool {
        if self.nodes.state(home) != NodeState::Alive {
            return false;
        }
        // An endpoint is kept for a while after it switched to this node, so that two nodes with
        // different views do not send it back and forth. A new endpoint may move at once, as it has
        // no confirmed home to lose.
        if let Some(claim) = self.claims.get(&endpoint)
            && home == self.own
        {
            let is_new = claim.epoch == 0 && claim.lease_end.is_none();
            if !is_new && now.since(claim.held_since) < self.settings.min_home_duration {
                return true;
            }
        }
        selector.is_suitable(home, zone) && !self.is_surplus(endpoint, home, selector)
    }

    /// Whether `endpoint` is one of those that exceed the maximum number for `home`.
    fn is_surplus(&self, endpoint: EndpointId, home: NodeId, selector: &HomeSelector<'_>) -> bool {
        let surplus = selector.count(home).saturating_sub(selector.max_homed);
        if surplus == 0 {
            return false;
        }
        let rank = self
            .endpoints
            .homed_at(home)
            .filter(|other| *other < endpoint)
            .count();
        rank < surplus
    }

    /// Creates a selector over all live nodes with the current endpoint counts.
    fn home_selector(&self, now: ClockTime) -> HomeSelector<'_> {
        let candidates = self
            .nodes
            .iter()
            .filter(|(_, entry)| entry.record.state == NodeState::Alive)
            .map(|(node, entry)| HomeCandidate {
                node,
                zone: &entry.record.zone,
                is_stable: now.since(entry.up_since) >= self.settings.home_min_uptime,
            })
            .collect();
        HomeSelector::new(
            candidates,
            self.endpoints.home_counts(),
            self.endpoints.total(),
            self.settings.home_balance_factor,
        )
    }
}
