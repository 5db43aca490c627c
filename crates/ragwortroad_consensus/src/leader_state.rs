use std::collections::{
    BTreeMap,
    VecDeque, //
};

use ragwortroad_types::ClockTime;

use crate::{
    MemberId,
    MemberProgress, //
};

/// What only a leader has.
#[derive(Debug, Default)]
pub(crate) struct LeaderState {
    /// All other members.
    pub(crate) progress: BTreeMap<MemberId, MemberProgress>,
    /// Index of the first entry of the leader's term: once it is committed, all before is, too.
    pub(crate) first_index: u64,
    /// How far the leader's own log is durable.
    pub(crate) own_match: u64,
    /// When the leader was elected.
    pub(crate) since: ClockTime,
    /// When the last heartbeats left.
    pub(crate) heartbeat_sent_at: ClockTime,
    /// Tokens of proposals, by the index of their entry.
    pub(crate) proposals: BTreeMap<u64, u64>,
    /// Reads that wait for proof, oldest first.
    pub(crate) reads: VecDeque<PendingRead>,
    /// Until when to look for a member to hand over to.
    pub(crate) transfer_deadline: Option<ClockTime>,
}

/// A read that waits for proof that it is current.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PendingRead {
    pub(crate) token: u64,
    pub(crate) asked_at: ClockTime,
}
