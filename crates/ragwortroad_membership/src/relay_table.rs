use std::time::Duration;

use ragwortroad_types::prelude::*;

/// Probes under way at once for others; more are ignored.
const MOST_RELAYS: usize = 64;
/// Time for which the answer to a probe matters to whoever asked.
const RELAY_TIME: Duration = Duration::from_secs(3);

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
    asked_by: NodeId,
    /// Whom it is about.
    target: NodeId,
    /// When the answer stops to matter.
    until: ClockTime,
}

impl RelayTable {
    /// Notes a probe; whether there was room.
    pub(crate) fn add(&mut self, asked_by: NodeId, target: NodeId, now: ClockTime) -> bool {
        self.relays.retain(|relay| relay.until > now);
        if self.relays.len() >= MOST_RELAYS {
            return false;
        }
        self.relays.push(RelayProbe {
            asked_by,
            target,
            until: now.after(RELAY_TIME),
        });
        true
    }

    /// Who is to be told that `target` was heard.
    pub(crate) fn heard(&mut self, target: NodeId, now: ClockTime) -> Vec<NodeId> {
        if self.relays.is_empty() {
            return Vec::new();
        }
        let told = self
            .relays
            .iter()
            .filter(|relay| relay.target == target && relay.until > now)
            .map(|relay| relay.asked_by)
            .collect();
        self.relays.retain(|relay| relay.target != target);
        told
    }
}
