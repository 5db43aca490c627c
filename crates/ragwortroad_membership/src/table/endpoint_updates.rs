//! What is believed of endpoints, and how it changes.

use ragwortroad_types::prelude::*;

use crate::{
    EndpointPresence,
    EndpointRecord,
    GossipAction,
    MembershipTable,
    pending_queue::UpdatePriority,
    record_key::{
        RecordKey, //
        UpdateKey,
    },
    sync_digest::version_hash, //
};

impl MembershipTable {
    /// Takes what `from` says of an endpoint.
    pub(super) fn merge_endpoint(&mut self, record: EndpointRecord, from: NodeId, now: ClockTime) {
        let id = record.id;
        match self.endpoints.record(id) {
            // What is gone and unknown stays unknown, or nobody would ever forget it.
            None if record.presence == EndpointPresence::Gone => return,
            Some(known) if known.version() >= record.version() => {
                let same_version = known.version() == record.version();
                if same_version && let Some(link) = self.links.get_mut(&from) {
                    link.pending.cancel(UpdateKey::Endpoint(id));
                }
                return;
            }
            _ => {}
        }
        self.end_superseded_claim(&record);
        self.change_endpoint(record, Some(from), now);
    }

    /// Puts a changed record in place, tells the neighbours and the owner.
    pub(super) fn change_endpoint(
        &mut self,
        record: EndpointRecord,
        from: Option<NodeId>,
        now: ClockTime,
    ) {
        let id = record.id;
        let presence = record.presence;
        let key = RecordKey::Endpoint(id);
        let parts = [record.incarnation, record.sequence, presence as u64];
        let is_present = presence != EndpointPresence::Gone;
        self.digest
            .set(key, is_present.then(|| version_hash(key, parts)));
        self.endpoints.put(record, now);
        let priority = match presence {
            EndpointPresence::Leaving | EndpointPresence::Released => UpdatePriority::Urgent,
            EndpointPresence::Present | EndpointPresence::Gone => UpdatePriority::Normal,
        };
        self.broadcast(UpdateKey::Endpoint(id), priority, from);
        self.actions.push(if is_present {
            GossipAction::EndpointChanged(id)
        } else {
            GossipAction::EndpointGone(id)
        });
    }
}
