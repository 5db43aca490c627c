use std::time::Duration;

use ragwortroad_types::prelude::*;

/// Maximum number of concurrent probes on behalf of other nodes; further requests are ignored.
const MAX_RELAYS: usize = 64;
/// Time after which the requester no longer needs the result of a probe.
const RELAY_TIMEOUT: Duration = Duration::from_secs(3);

/// Probes that this node makes on behalf of other nodes.
#[derive(Debug, Default)]
pub(crate) struct RelayTable {
    /// Probes that have not been answered.
    relays: Vec<RelayProbe>,
}

/// One probe on behalf of another node.
#[derive(Clone, Copy, Debug)]
struct RelayProbe {
    /// The node that asked for the probe.
    requester: NodeId,
    /// The node that is probed.
    target: NodeId,
    expires_at: ClockTime,
}

impl RelayTable {
    /// Registers a probe and returns whether there was room for it.
    pub(crate) fn add(&mut self, requester: NodeId, target: NodeId, now: ClockTime) -> bool {
        self.relays.retain(|relay| relay.expires_at > now);
        if self.relays.len() >= MAX_RELAYS {
            return false;
        }
        self.relays.push(RelayProbe {
            requester,
            target,
            expires_at: now.after(RELAY_TIMEOUT),
        });
        true
    }

    /// Removes the probes of `target` and returns the nodes that asked for them.
    pub(crate) fn take_requesters(&mut self, target: NodeId, now: ClockTime) -> Vec<NodeId> {
        if self.relays.is_empty() {
            return Vec::new();
        }
        let requesters = self
            .relays
            .iter()
            .filter(|relay| relay.target == target && relay.expires_at > now)
            .map(|relay| relay.requester)
            .collect();
        self.relays.retain(|relay| relay.target != target);
        requesters
    }
}
