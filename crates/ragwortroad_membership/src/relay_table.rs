use std::time::Duration;

use ragwortroad_types::prelude::*;

/// Probes under way at once for others; more are ignored.
const MAX_RELAYS: usize = 64;
/// Time for which the answer to a probe matters to whoever asked.
const RELAY_TIMEOUT: Duration = Duration::from_secs(3);

/// Probes this node makes for others.
#[derive(Debug, Default)]
pub(crate) struct RelayTable {
    /// What is under way.
    relays: Vec<RelayProbe>,
}

/// One probe made for another node.
#[derive(Clone, Copy, Debug)]
struct RelayProbe {
    /// Who wants to know.
    requester: NodeId,
    /// Whom it is about.
    target: NodeId,
    /// When the answer stops to matter.
    expires_at: ClockTime,
}

impl RelayTable {
    /// Notes a probe; whether there was room.
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

    /// Who is to be told that `target` was heard.
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
