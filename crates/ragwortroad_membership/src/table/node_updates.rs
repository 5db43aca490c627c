//! Merging and publishing of node records, and failure detection.

use ragwortroad_types::prelude::*;

use crate::{
    EndpointPresence,
    GossipAction,
    MembershipTable,
    NodeRecord,
    NodeState,
    pending_queue::UpdatePriority,
    record_key::{
        RecordKey,
        UpdateKey, //
    },
    sync_digest::version_hash, //
};

impl MembershipTable {
    /// Stores a record and updates the digest.
    pub(super) fn put_node(&mut self, record: NodeRecord, now: ClockTime) {
        let key = RecordKey::Node(record.id());
        let leaving = u64::from(record.state == NodeState::Leaving);
        let hash = version_hash(key, [record.incarnation, leaving, 0]);
        // Suspicions are left out of the digest, since they resolve without reconciliation.
        let version = record.state.is_present().then_some(hash);
        self.digest.set(key, version);
        self.nodes.put(record, now);
    }

    /// Merges the record of a node that `from` has sent.
    pub(super) fn merge_node(&mut self, record: NodeRecord, from: NodeId, now: ClockTime) {
        let id = record.id();
        if id == self.own {
            self.refute(&record, now);
            return;
        }
        let Some(known) = self.nodes.record(id) else {
            // An unknown node that is down is not added; otherwise nodes would keep sending it to
            // each other and never remove it.
            if record.state.is_present() {
                self.change_node(record, Some(from), now);
            }
            return;
        };
        if !known.is_older_than(record.incarnation, record.state) {
            let same_version =
                known.incarnation == record.incarnation && known.state == record.state;
            if same_version && let Some(link) = self.links.get_mut(&from) {
                link.pending.cancel(UpdateKey::Node(id));
            }
            return;
        }
        let known_state = known.state;
        let mut record = record;
        if record.state == NodeState::Down {
            // After a network partition, each side considers the other down. A live node is only
            // suspected at first, so that it can refute; otherwise every node would be marked down
            // once when the partition heals.
            match known_state {
                NodeState::Alive => record.state = NodeState::Suspected,
                NodeState::Suspected => return,
                NodeState::Leaving | NodeState::Down => {}
            }
        }
        self.change_node(record, Some(from), now);
    }

    /// Refutes an update about this node that is newer than its own record.
    fn refute(&mut self, reported: &NodeRecord, now: ClockTime) {
        let Some(own) = self.nodes.record(self.own).cloned() else {
            return;
        };
        if !own.is_older_than(reported.incarnation, reported.state) {
            return;
        }
        self.stats.refutations += 1;
        let record = NodeRecord {
            incarnation: reported.incarnation + 1,
            ..own
        };
        self.put_node(record, now);
        self.broadcast(UpdateKey::Node(self.own), UpdatePriority::Urgent, None);
    }

    /// Stores another node's changed record, queues it for the neighbours other than `from`, and
    /// reports the change.
    pub(super) fn change_node(&mut self, record: NodeRecord, from: Option<NodeId>, now: ClockTime) {
        let id = record.id();
        let previous_state = self.nodes.record(id).map(|known| known.state);
        let state = record.state;
        self.put_node(record, now);
        let priority = match (previous_state, state) {
            (_, NodeState::Suspected | NodeState::Leaving) => UpdatePriority::Urgent,
            (Some(NodeState::Suspected), NodeState::Alive) => UpdatePriority::Urgent,
            _ => UpdatePriority::Normal,
        };
        // Every node that suspects another marks it as down after its own timeout, so this need not
        // be sent.
        let own_timeout = previous_state == Some(NodeState::Suspected) && state == NodeState::Down;
        if !own_timeout {
            self.broadcast(UpdateKey::Node(id), priority, from);
        }
        self.report_node_state(id, previous_state, state);
        if state == NodeState::Down {
            self.clean_up_down_node(id);
        }
    }

    /// Reports a node's change of state by an action.
    fn report_node_state(
        &mut self,
        id: NodeId,
        previous_state: Option<NodeState>,
        state: NodeState,
    ) {
        if previous_state == Some(state) {
            return;
        }
        let was_absent = !previous_state.is_some_and(NodeState::is_present);
        if was_absent && state.is_present() {
            self.actions.push(GossipAction::NodeUp(id));
            self.report_endpoints_of(id, GossipAction::EndpointChanged);
        }
        match state {
            NodeState::Alive if !was_absent => self.actions.push(GossipAction::NodeUp(id)),
            NodeState::Alive => {}
            NodeState::Suspected => self.actions.push(GossipAction::NodeSuspected(id)),
            NodeState::Leaving => self.actions.push(GossipAction::NodeLeaving(id)),
            NodeState::Down => self.actions.push(GossipAction::NodeDown(id)),
        }
    }

    /// Drops the link and blobs of a node that is down, and reports its endpoints as gone.
    fn clean_up_down_node(&mut self, id: NodeId) {
        self.links.remove(&id);
        self.blobs.remove_node(id);
        self.report_endpoints_of(id, GossipAction::EndpointGone);
    }

    /// Reports an action for each endpoint whose home is `node`.
    fn report_endpoints_of(&mut self, node: NodeId, action: fn(EndpointId) -> GossipAction) {
        let homed: Vec<EndpointId> = self.endpoints.homed_at(node).collect();
        self.actions.extend(homed.into_iter().map(action));
    }

    /// Marks nodes as down that did not refute their suspicion in time.
    pub(super) fn expire_suspicions(&mut self, now: ClockTime) {
        if !self.nodes.has_suspects() {
            return;
        }
        let timeout = self
            .settings
            .suspicion_timeout_for(self.nodes.present_count());
        let heard_recently = |id: &NodeId| {
            let link = self.links.get(id);
            link.is_some_and(|link| link.silence(now) < self.settings.probe_after)
        };
        let expired: Vec<NodeRecord> = self
            .nodes
            .iter()
            .filter(|(_, entry)| entry.record.state == NodeState::Suspected)
            .filter(|(_, entry)| now.since(entry.state_since) >= timeout)
            .filter(|(id, _)| !heard_recently(id))
            .map(|(_, entry)| entry.record.clone())
            .collect();
        for record in expired {
            let record = NodeRecord {
                state: NodeState::Down,
                ..record
            };
            self.change_node(record, None, now);
        }
    }

    /// Announces that this node is shutting down, and releases its endpoints.
    pub(super) fn start_leaving(&mut self, now: ClockTime) {
        let Some(own) = self.nodes.record(self.own).cloned() else {
            return;
        };
        self.leaving = true;
        let record = NodeRecord {
            state: NodeState::Leaving,
            ..own
        };
        self.put_node(record, now);
        self.broadcast(UpdateKey::Node(self.own), UpdatePriority::Urgent, None);
        self.release_claims(now);
    }

    /// Removes nodes that have been down, and endpoints that have been gone, for long enough.
    pub(super) fn remove_expired(&mut self, now: ClockTime) {
        let settings = &self.settings;
        let nodes: Vec<NodeId> = self
            .nodes
            .iter()
            .filter(|(_, entry)| entry.record.state == NodeState::Down)
            .filter(|(_, entry)| now.since(entry.state_since) >= settings.forget_node_after)
            .map(|(id, _)| id)
            .collect();
        let endpoints: Vec<EndpointId> = self
            .endpoints
            .iter()
            .filter(|(_, entry)| {
                let gone = entry.record.presence == EndpointPresence::Gone;
                gone || !self.nodes.state(entry.record.home).is_present()
            })
            .filter(|(_, entry)| now.since(entry.updated_at) >= settings.forget_endpoint_after)
            .map(|(id, _)| id)
            .collect();
        for id in nodes {
            self.nodes.remove(id);
            self.digest.forget(RecordKey::Node(id));
        }
        for id in endpoints {
            self.endpoints.remove(id);
            self.claims.remove(&id);
            self.digest.forget(RecordKey::Endpoint(id));
        }
    }
}
