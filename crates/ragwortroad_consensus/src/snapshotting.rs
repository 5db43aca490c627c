//! Stores local snapshots, and installs snapshots sent by the leader.

use std::sync::Arc;

use ragwortroad_log::StoredSnapshot;

use crate::{
    AppendOutcome,
    ConsensusCore,
    CoreAction,
    MemberHistory,
    MemberId,
    MemberSet,
    PeerMessage,
    SnapshotAssembly,
    SnapshotChunk, //
};

impl ConsensusCore {
    /// Replaces the entries up to `index` by a snapshot, except for `trailing_entries` that members
    /// which lag slightly may still need.
    pub(crate) fn compact_to_snapshot(&mut self, index: u64, bytes: Vec<u8>) {
        self.snapshot_requested = false;
        let since = self.snapshot.as_ref().map_or(0, |snapshot| snapshot.index);
        let Some(term) = self.log.term_at(index) else {
            return;
        };
        if index <= since || index > self.applied {
            return;
        }
        let members = encode_members(self.members.at(index));
        self.store_snapshot(StoredSnapshot {
            index,
            term,
            members,
            bytes,
        });
        self.applied_bytes = 0;
        let kept = self.settings.trailing_entries;
        let dropped = index.saturating_sub(kept);
        self.log.drop_until(dropped);
        self.members.drop_until(self.log.base().index);
    }

    fn store_snapshot(&mut self, snapshot: StoredSnapshot) {
        self.barrier.change().snapshot = Some(snapshot.clone());
        self.snapshot = Some(Arc::new(snapshot));
    }

    pub(crate) fn handle_chunk(&mut self, from: MemberId, chunk: SnapshotChunk) {
        let index = chunk.last.index;
        if index <= self.commit {
            let outcome = AppendOutcome::Matched(index);
            self.leader_match_index = self.leader_match_index.max(index);
            return self.reply_append(from, chunk.sent_at, outcome);
        }
        let assembly = self
            .assembly
            .take()
            .filter(|assembly| assembly.matches(&chunk));
        let mut assembly = assembly.unwrap_or_else(|| SnapshotAssembly::new(&chunk));
        assembly.add(&chunk);
        if assembly.is_complete() {
            let outcome = AppendOutcome::Matched(index);
            let sent_at = chunk.sent_at;
            self.install_snapshot(chunk, assembly.bytes);
            return self.reply_append(from, sent_at, outcome);
        }
        let received = assembly.bytes.len() as u64;
        self.assembly = Some(assembly);
        let reply = PeerMessage::ChunkReply {
            term: self.vote.term,
            sent_at: chunk.sent_at,
            index,
            received,
        };
        self.send_after_persist(from, reply);
    }

    fn install_snapshot(&mut self, chunk: SnapshotChunk, bytes: Vec<u8>) {
        let last = chunk.last;
        let index = last.index;
        let is_known = self.log.term_at(index) == Some(last.term);
        if is_known {
            self.log.drop_until(index);
            self.members.drop_until(index);
        } else {
            self.log.reset(last);
            self.members = MemberHistory::new(index, chunk.members.clone());
        }
        self.commit = index;
        self.applied = index;
        self.applied_bytes = 0;
        self.snapshot_requested = false;
        self.leader_match_index = self.leader_match_index.max(index);
        self.out.push(CoreAction::RestoreSnapshot {
            index,
            bytes: bytes.clone(),
        });
        let members = chunk.members;
        self.store_snapshot(StoredSnapshot {
            index,
            term: last.term,
            members: encode_members(&members),
            bytes,
        });
        self.out.push(CoreAction::MembersChanged { index, members });
    }
}

/// Encodes `members`; encoding plain types into memory does not fail.
fn encode_members(members: &MemberSet) -> Vec<u8> {
    postcard::to_stdvec(members).unwrap_or_default()
}
