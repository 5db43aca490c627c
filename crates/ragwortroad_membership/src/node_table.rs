use std::collections::BTreeMap;

use ragwortroad_types::prelude::*;

use crate::{
    NodeRecord,
    NodeState, //
};

/// What is known of one node.
#[derive(Clone, Debug)]
pub(crate) struct NodeEntry {
    /// The record as told to others.
    pub(crate) record: NodeRecord,
    /// Hash of the record's facts.
    pub(crate) metadata_hash: u16,
    /// When its present facts were first known.
    pub(crate) metadata_since: ClockTime,
    /// When it appeared or last came back from being down.
    pub(crate) up_since: ClockTime,
    /// When its state last changed.
    pub(crate) state_since: ClockTime,
}

/// All nodes known, this one included.
#[derive(Debug, Default)]
pub(crate) struct NodeTable {
    /// Ordered, so that a run can be replayed.
    entries: BTreeMap<NodeId, NodeEntry>,
    /// Nodes that are not down; counted here, as it is asked for at every tick.
    present: usize,
    /// Nodes that are suspected.
    suspected: usize,
    /// Counts up when a node appears, changes state or goes.
    pub(crate) generation: u64,
}

impl NodeTable {
    /// What is known of `node`.
    pub(crate) fn get(&self, node: NodeId) -> Option<&NodeEntry> {
        self.entries.get(&node)
    }

    /// The record of `node`.
    pub(crate) fn record(&self, node: NodeId) -> Option<&NodeRecord> {
        self.entries.get(&node).map(|entry| &entry.record)
    }

    /// The state of `node`; an unknown one counts as down.
    pub(crate) fn state(&self, node: NodeId) -> NodeState {
        self.record(node)
            .map_or(NodeState::Down, |record| record.state)
    }

    /// Puts `record` in place of what was known of its node.
    pub(crate) fn put(&mut self, record: NodeRecord, now: ClockTime) {
        let id = record.id();
        let previous = self.entries.get(&id);
        let same_state = previous.is_some_and(|entry| entry.record.state == record.state);
        let was_present = previous.is_some_and(|entry| entry.record.state.is_present());
        let metadata_hash = record.metadata_hash();
        let entry = NodeEntry {
            metadata_hash,
            metadata_since: match previous {
                Some(entry) if entry.metadata_hash == metadata_hash => entry.metadata_since,
                _ => now,
            },
            up_since: match previous {
                Some(entry) if was_present => entry.up_since,
                _ => now,
            },
            state_since: match previous {
                Some(entry) if same_state => entry.state_since,
                _ => now,
            },
            record,
        };
        if !same_state {
            self.generation += 1;
        }
        let state = entry.record.state;
        let previous = self.entries.insert(id, entry);
        self.present += usize::from(state.is_present());
        self.suspected += usize::from(state == NodeState::Suspected);
        self.remove_from_counts(previous.as_ref());
    }

    /// Takes an entry that was replaced or removed out of the counts.
    fn remove_from_counts(&mut self, previous: Option<&NodeEntry>) {
        if let Some(entry) = previous {
            let state = entry.record.state;
            self.present -= usize::from(state.is_present());
            self.suspected -= usize::from(state == NodeState::Suspected);
        }
    }

    /// Number of nodes that are not down, this one included.
    pub(crate) fn present_count(&self) -> usize {
        self.present
    }

    /// Whether any node is suspected.
    pub(crate) fn has_suspects(&self) -> bool {
        self.suspected > 0
    }

    /// Forgets `node`.
    pub(crate) fn remove(&mut self, node: NodeId) {
        let previous = self.entries.remove(&node);
        if previous.is_some() {
            self.generation += 1;
        }
        self.remove_from_counts(previous.as_ref());
    }

    /// All nodes.
    pub(crate) fn iter(&self) -> impl Iterator<Item = (NodeId, &NodeEntry)> {
        self.entries.iter().map(|(id, entry)| (*id, entry))
    }

    /// Nodes that are not down.
    pub(crate) fn present(&self) -> impl Iterator<Item = (NodeId, &NodeEntry)> {
        self.iter()
            .filter(|(_, entry)| entry.record.state.is_present())
    }
}
