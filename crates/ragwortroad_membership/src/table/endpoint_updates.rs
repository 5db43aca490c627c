//! Merging and publishing of endpoint records.

use ragwortroad_types::prelude::*;

use crate::{
    EndpointPresence,
    EndpointRecord,
    GossipAction,
    MembershipTable,
    pending_queue::UpdatePriority,
    record_key::{
        RecordKey,
        UpdateKey, //
    },
    sync_digest::version_hash, //
};

impl MembershipTable {
    /// Merges the record of an endpoint that `from` has sent.
    pub(super) fn merge_endpoint(&mut self, record: EndpointRecord, from: NodeId, now: ClockTime) {
        let id = record.id;
        match self.endpoints.record(id) {
            // An unknown endpoint that is gone is not added; otherwise nodes would keep sending it
            // to each other and never remove it.
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

    /// Stores a changed record, queues it for the neighbours other than `from`, and reports the
    /// change.
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
