//! Where endpoints should announce themselves.

use std::time::Duration;

use ragwortroad_types::prelude::*;

use crate::{
    HomeState,
    MembershipTable,
    NodeState,
    home_choice::{
        HomeCandidate,
        HomeChoice, //
    }, //
};

/// Nodes that an endpoint is told of.
const ADDRESSES: usize = 4;
/// Time until the next announcement that is wanted of an endpoint which has yet to confirm its
/// home, or must turn to another one.
const QUICK_ANNOUNCE: Duration = Duration::from_millis(100);

impl MembershipTable {
    /// The node that should be home to `endpoint` in `zone`: the present home as long as it suits.
    pub fn preferred_home(&self, endpoint: EndpointId, zone: &str, now: ClockTime) -> NodeId {
        self.wanted_homes(endpoint, zone, now)
            .first()
            .copied()
            .unwrap_or(self.own)
    }

    /// The answer to an announcement of `endpoint`, to be asked for after the announcement was
    /// handled.
    pub fn announce_answer(&self, endpoint: EndpointId, now: ClockTime) -> AnnounceResponse {
        let zone = self
            .endpoints
            .record(endpoint)
            .map_or("", |record| record.zone.as_str());
        let homes = self.wanted_homes(endpoint, zone, now);
        let stays = homes.first() == Some(&self.own);
        let confirmed = matches!(self.home_state(endpoint, now), HomeState::Home { .. });
        let announce_to = homes
            .iter()
            .filter_map(|id| self.nodes.record(*id))
            .map(|record| record.caller_address.to_string())
            .collect();
        let every = if stays && confirmed {
            self.settings.announce_interval
        } else {
            QUICK_ANNOUNCE
        };
        AnnounceResponse {
            announce_to,
            every_ms: every.as_millis() as u64,
        }
    }

    /// The nodes that `endpoint` should announce itself to, best first.
    fn wanted_homes(&self, endpoint: EndpointId, zone: &str, now: ClockTime) -> Vec<NodeId> {
        let choice = self.home_choice(now);
        let mut best = choice.best(endpoint, zone, ADDRESSES);
        let home = self.endpoints.record(endpoint).map(|record| record.home);
        let Some(home) = home else {
            return best;
        };
        if self.stays(endpoint, zone, home, &choice, now) {
            best.retain(|node| *node != home);
            best.insert(0, home);
            best.truncate(ADDRESSES);
        }
        best
    }

    /// Whether `endpoint` should stay with its present home.
    fn stays(
        &self,
        endpoint: EndpointId,
        zone: &str,
        home: NodeId,
        choice: &HomeChoice<'_>,
        now: ClockTime,
    ) -> bool {
        if self.nodes.state(home) != NodeState::Alive {
            return false;
        }
        // An endpoint that has just turned to us stays for a while, so that two nodes with
        // different views do not send it back and forth; one that is new has nothing to lose.
        if let Some(claim) = self.claims.get(&endpoint)
            && home == self.own
        {
            let is_new = claim.epoch == 0 && claim.until.is_none();
            if !is_new && now.since(claim.held_since) < self.settings.min_home_duration {
                return true;
            }
        }
        choice.suits(home, zone) && !self.is_surplus(endpoint, home, choice)
    }

    /// Whether `endpoint` is among those that `home` has too many of.
    fn is_surplus(&self, endpoint: EndpointId, home: NodeId, choice: &HomeChoice<'_>) -> bool {
        let surplus = choice.count(home).saturating_sub(choice.cap);
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

    /// The nodes that may be home to endpoints, and how many each has.
    fn home_choice(&self, now: ClockTime) -> HomeChoice<'_> {
        let candidates = self
            .nodes
            .iter()
            .filter(|(_, entry)| entry.record.state == NodeState::Alive)
            .map(|(node, entry)| HomeCandidate {
                node,
                zone: &entry.record.zone,
                settled: now.since(entry.up_since) >= self.settings.home_min_uptime,
            })
            .collect();
        HomeChoice::new(
            candidates,
            self.endpoints.home_counts(),
            self.endpoints.total(),
            self.settings.home_balance_factor,
        )
    }
}
