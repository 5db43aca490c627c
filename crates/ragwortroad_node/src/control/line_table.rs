use std::collections::BTreeMap;

use flume::Sender;
use ragwortroad_gateway::prelude::*;
use ragwortroad_types::prelude::*;

use crate::wire::follow_message::OperatorLine;

/// Operators' lines that were passed on to the leader.
#[derive(Debug, Default)]
pub(crate) struct LineTable {
    next: u64,
    lines: BTreeMap<u64, OpenLine>,
}

/// A line whose answer is awaited.
#[derive(Debug)]
pub(crate) struct OpenLine {
    /// The operator's connection.
    pub(crate) reply: Sender<OperatorResponse>,
    /// The node it was sent to.
    pub(crate) leader: NodeId,
    /// The line, to be sent again.
    pub(crate) line: OperatorLine,
    /// When it came in.
    pub(crate) since: ClockTime,
    /// When it was sent last.
    pub(crate) sent: ClockTime,
}

impl LineTable {
    /// Adds a line and numbers it.
    pub(crate) fn add(&mut self, line: OpenLine) -> u64 {
        self.next += 1;
        self.lines.insert(self.next, line);
        self.next
    }

    /// Ends the wait for the answer of `leader`.
    pub(crate) fn take(&mut self, token: u64, leader: NodeId) -> Option<OpenLine> {
        let asked = self.lines.get(&token)?.leader;
        if asked != leader {
            return None;
        }
        self.lines.remove(&token)
    }

    /// Lines that were last sent before `limit`, to be sent to `leader` now.
    ///
    /// A line or its answer gets lost with a connection. Sending it again is harmless: a question
    /// changes nothing, and a change is known by its id.
    pub(crate) fn repeat(
        &mut self,
        limit: ClockTime,
        leader: NodeId,
        now: ClockTime,
    ) -> Vec<(u64, OperatorLine)> {
        let late = self.lines.iter_mut().filter(|(_, line)| line.sent < limit);
        let again = |(number, open): (&u64, &mut OpenLine)| {
            open.leader = leader;
            open.sent = now;
            (*number, open.line.clone())
        };
        late.map(again).collect()
    }

    /// Ends waits that began before `limit`.
    pub(crate) fn overdue(&mut self, limit: ClockTime) -> Vec<OpenLine> {
        let old = self.lines.iter().filter(|(_, line)| line.since < limit);
        let numbers: Vec<u64> = old.map(|(number, _)| *number).collect();
        let take = |number: u64| self.lines.remove(&number);
        numbers.into_iter().filter_map(take).collect()
    }
}
