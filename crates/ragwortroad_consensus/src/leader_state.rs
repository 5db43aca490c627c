use std::collections::{
    BTreeMap,
    VecDeque, //
};

use ragwortroad_types::ClockTime;

use crate::{
    MemberId,
    MemberProgress, //
};

/// State that only a leader has.
#[derive(Debug, Default)]
pub(crate) struct LeaderState {
    /// Replication progress of all other members.
    pub(crate) progress: BTreeMap<MemberId, MemberProgress>,
    /// Index of the first entry of the leader's term; once it is committed, so is everything before
    /// it.
    pub(crate) first_index: u64,
    /// Index up to which the leader's own log is durable.
    pub(crate) own_match: u64,
    /// Time at which the leader was elected.
    pub(crate) since: ClockTime,
    /// Time at which the last heartbeats were sent.
    pub(crate) heartbeat_sent_at: ClockTime,
    /// Tokens of pending proposals, by the index of their entry.
    pub(crate) proposals: BTreeMap<u64, u64>,
    /// Reads that wait for proof that the state is current, oldest first.
    pub(crate) reads: VecDeque<PendingRead>,
    /// Time until which the leader looks for a voter to transfer leadership to.
    pub(crate) transfer_deadline: Option<ClockTime>,
}

/// A read that waits for proof that the state is current.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PendingRead {
    pub(crate) token: u64,
    pub(crate) asked_at: ClockTime,
}
