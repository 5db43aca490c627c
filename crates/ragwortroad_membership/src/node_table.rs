use std::collections::BTreeMap;

use ragwortroad_types::prelude::*;

use crate::{
    NodeRecord,
    NodeState, //
};

/// A node's record with the times of its last changes.
#[derive(Clone, Debug)]
pub(crate) struct NodeEntry {
    /// The record as replicated to other nodes.
    pub(crate) record: NodeRecord,
    /// Hash of the fields other than incarnation and state.
    pub(crate) metadata_hash: u16,
    /// When the current metadata was first seen.
    pub(crate) metadata_since: ClockTime,
    /// When the node joined or last came back from being down.
    pub(crate) up_since: ClockTime,
    /// When the node's state last changed.
    pub(crate) state_since: ClockTime,
}

/// All known nodes, including this one.
#[derive(Debug, Default)]
pub(crate) struct NodeTable {
    /// Ordered, so that a replay with the same seed visits nodes in the same order.
    entries: BTreeMap<NodeId, NodeEntry>,
    /// Number of nodes that are not down; cached, since every tick needs it.
    present: usize,
    /// Number of suspected nodes.
    suspected: usize,
    /// Incremented when a node is added, changes state or is removed.
    pub(crate) generation: u64,
}

impl NodeTable {
    pub(crate) fn get(&self, node: NodeId) -> Option<&NodeEntry> {
        self.entries.get(&node)
    }

    pub(crate) fn record(&self, node: NodeId) -> Option<&NodeRecord> {
        self.entries.get(&node).map(|entry| &entry.record)
    }

    /// Returns the state of `node`; unknown nodes count as down.
    pub(crate) fn state(&self, node: NodeId) -> NodeState {
        self.record(node)
            .map_or(NodeState::Down, |record| record.state)
    }

    /// Inserts or replaces a node's record and updates the times of its changes.
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

    /// Subtracts a replaced or removed entry from the cached counts.
    fn remove_from_counts(&mut self, previous: Option<&NodeEntry>) {
        if let Some(entry) = previous {
            let state = entry.record.state;
            self.present -= usize::from(state.is_present());
            self.suspected -= usize::from(state == NodeState::Suspected);
        }
    }

    /// Number of nodes that are not down, including this one.
    pub(crate) fn present_count(&self) -> usize {
        self.present
    }

    pub(crate) fn has_suspects(&self) -> bool {
        self.suspected > 0
    }

    pub(crate) fn remove(&mut self, node: NodeId) {
        let previous = self.entries.remove(&node);
        if previous.is_some() {
            self.generation += 1;
        }
        self.remove_from_counts(previous.as_ref());
    }

    /// Iterates over all nodes in the order of their identities.
    pub(crate) fn iter(&self) -> impl Iterator<Item = (NodeId, &NodeEntry)> {
        self.entries.iter().map(|(id, entry)| (*id, entry))
    }

    /// Iterates over the nodes that are not down.
    pub(crate) fn present(&self) -> impl Iterator<Item = (NodeId, &NodeEntry)> {
        self.iter()
            .filter(|(_, entry)| entry.record.state.is_present())
    }
}
