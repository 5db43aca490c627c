//! What is believed of endpoints, and how it changes.

use ragwortroad_types::prelude::*;

use crate::{
    EndpointPresence,
    EndpointRecord,
    GossipAction,
    MembershipTable,
    pending_queue::NewsClass,
    record_key::{
        NewsKey,
        RecordKey, //
    },
    sync_digest::version_hash, //
};

impl MembershipTable {
    /// Takes what `from` says of an endpoint.
    pub(super) fn learn_endpoint(&mut self, record: EndpointRecord, from: NodeId, now: ClockTime) {
        let id = record.id;
        match self.endpoints.record(id) {
            // What is gone and unknown stays unknown, or nobody would ever forget it.
            None if record.presence == EndpointPresence::Gone => return,
            Some(known) if known.version() >= record.version() => {
                let same = known.version() == record.version();
                if same && let Some(link) = self.links.get_mut(&from) {
                    link.pending.take_back(NewsKey::Endpoint(id));
                }
                return;
            }
            _ => {}
        }
        self.yield_claim(&record);
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
        let there = presence != EndpointPresence::Gone;
        self.digest
            .set(key, there.then(|| version_hash(key, parts)));
        self.endpoints.put(record, now);
        let class = match presence {
            EndpointPresence::Leaving | EndpointPresence::Released => NewsClass::Urgent,
            EndpointPresence::Present | EndpointPresence::Gone => NewsClass::Prompt,
        };
        self.spread(NewsKey::Endpoint(id), class, from);
        self.actions.push(if there {
            GossipAction::EndpointChanged(id)
        } else {
            GossipAction::EndpointGone(id)
        });
    }
}
