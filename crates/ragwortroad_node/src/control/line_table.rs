use std::collections::BTreeMap;

use flume::Sender;
use ragwortroad_gateway::prelude::*;
use ragwortroad_types::prelude::*;

use crate::wire::follow_message::OperatorLine;

/// Operators' lines that were forwarded to the leader.
#[derive(Debug, Default)]
pub(crate) struct LineTable {
    next: u64,
    lines: BTreeMap<u64, PendingLine>,
}

/// A forwarded line to which the leader hasn't responded.
#[derive(Debug)]
pub(crate) struct PendingLine {
    /// The operator's connection.
    pub(crate) reply: Sender<OperatorResponse>,
    /// The node that the line was last sent to.
    pub(crate) leader: NodeId,
    /// The line, kept for resending.
    pub(crate) line: OperatorLine,
    /// When the operator sent it.
    pub(crate) received: ClockTime,
    /// When it was last forwarded.
    pub(crate) last_sent: ClockTime,
}

impl LineTable {
    /// Adds a line and returns its number.
    pub(crate) fn add(&mut self, line: PendingLine) -> u64 {
        self.next += 1;
        self.lines.insert(self.next, line);
        self.next
    }

    /// Removes and returns a line if it was last sent to `leader`.
    pub(crate) fn take(&mut self, token: u64, leader: NodeId) -> Option<PendingLine> {
        let asked_leader = self.lines.get(&token)?.leader;
        if asked_leader != leader {
            return None;
        }
        self.lines.remove(&token)
    }

    /// Returns the lines last sent before `limit`, to be sent to `leader` now.
    ///
    /// A line or the response to it may be lost with a connection. Resending is safe: a query
    /// changes nothing, and a change is deduplicated by its id.
    pub(crate) fn take_resends(
        &mut self,
        limit: ClockTime,
        leader: NodeId,
        now: ClockTime,
    ) -> Vec<(u64, OperatorLine)> {
        let late = self
            .lines
            .iter_mut()
            .filter(|(_, line)| line.last_sent < limit);
        let resend = |(number, pending): (&u64, &mut PendingLine)| {
            pending.leader = leader;
            pending.last_sent = now;
            (*number, pending.line.clone())
        };
        late.map(resend).collect()
    }

    /// Removes and returns the lines received before `limit`.
    pub(crate) fn take_overdue(&mut self, limit: ClockTime) -> Vec<PendingLine> {
        let old = self.lines.iter().filter(|(_, line)| line.received < limit);
        let numbers: Vec<u64> = old.map(|(number, _)| *number).collect();
        let remove = |number: u64| self.lines.remove(&number);
        numbers.into_iter().filter_map(remove).collect()
    }
}
