//! The queries of a restarted member and the replies to them: see
//! [`RestartCheck`](crate::RestartCheck).

use ragwortroad_log::VoteRecord;
use ragwortroad_types::ClockTime;

use crate::{
    ConsensusCore,
    MemberId,
    PeerMessage,
    RestartCheck,
    persist_barrier::DeferredEffect,
    recall_check::DiskReport, //
};

impl ConsensusCore {
    /// Queries the other members at the heartbeat interval until enough have replied.
    pub(crate) fn send_hellos(&mut self, now: ClockTime) {
        let interval = self.settings.heartbeat_interval;
        let is_due = self
            .check
            .asked_at
            .is_none_or(|asked_at| now >= asked_at.after(interval));
        if self.check.is_done || !is_due {
            return;
        }
        self.check.asked_at = Some(now);
        if self.check.has_enough_replies(self.id) {
            return self.finish_check(now);
        }
        let records = self.check.members().records();
        let members: Vec<_> = records.iter().map(|record| record.member).collect();
        for member in members {
            if member != self.id {
                self.send(member, PeerMessage::Hello);
            }
        }
    }

    /// Queries a sender that is not in the known member set: while this member was down the whole
    /// set may have been replaced, or it had not learned of any set yet.
    pub(crate) fn query_unknown_member(&mut self, from: MemberId) {
        if self.check.members().find(from).is_none() {
            self.send(from, PeerMessage::Hello);
        }
    }

    /// Replies to a restarted member once the reported state is durable. If a crash undid a
    /// position that was already reported, the restarted member might find no candidate whose log
    /// reaches it.
    ///
    /// The member's start number becomes durable with it. Otherwise, after a restart here, an
    /// acknowledgement without that number would let a leader count one from before the member's
    /// restart.
    pub(crate) fn handle_hello(&mut self, from: MemberId) {
        if let Some(start) = self.starts.take_unpersisted(from) {
            let member = from.0;
            let known = ragwortroad_log::MemberStart { member, start };
            self.barrier.change().starts.push(known);
        }
        let reply = PeerMessage::HelloReply {
            asked: self.starts.latest(from),
            term: self.vote.term,
            last: self.log.last(),
            members: self.members().clone(),
            starts: self.starts.starts_for(from, self.members.latest()),
        };
        self.send_after_persist(from, reply);
    }

    pub(crate) fn handle_hello_reply(
        &mut self,
        from: MemberId,
        reply: PeerMessage,
        now: ClockTime,
    ) {
        let PeerMessage::HelloReply {
            asked,
            term,
            last,
            members,
            starts,
        } = reply
        else {
            return;
        };
        if asked != self.start {
            return;
        }
        self.record_disk_report(from, DiskReport { term, last }, now);
        if self.check.is_done {
            return;
        }
        let previous = self.check.members().clone();
        self.check.record_reply(from, term, last, members);
        for known in &starts {
            self.observe_start(known.member, known.start, now);
        }
        if self.check.has_enough_replies(self.id) {
            self.finish_check(now);
        } else if *self.check.members() != previous {
            self.check.asked_at = None;
            self.send_hellos(now);
        }
    }

    /// Applies the constraints derived from the replies.
    ///
    /// This member may have voted in any term up to the highest one among the replies. Its vote in
    /// that term therefore counts as used: it is recorded as a vote for itself, which it never asks
    /// anyone to count.
    fn finish_check(&mut self, now: ClockTime) {
        self.check.finish();
        let floor = self.check.vote_floor;
        if floor > self.vote.term {
            self.adopt_term(floor, now);
        }
        if floor == self.vote.term && self.vote.voted_for.is_none() {
            self.set_vote(VoteRecord {
                term: floor,
                voted_for: Some(self.id.0),
            });
        }
    }

    /// Raises this member's start number above `known` if that is a later one, which this member has
    /// forgotten.
    ///
    /// A rolled-back folder does not have it, and a folder written by a version that took the time of
    /// day for a start number has none. A message of an earlier start that arrives late is answered
    /// with the current number.
    pub(crate) fn raise_start(&mut self, known: u64) {
        if known <= self.raised_start {
            return;
        }
        self.raised_start = known.saturating_add(1);
        self.barrier.change().start = Some(self.raised_start);
        self.barrier
            .defer(DeferredEffect::OwnStart(self.raised_start));
    }

    /// Uses the durable number `start`. Members that replied to a query under an earlier number do not
    /// know this one yet, so a check that is not finished begins again.
    pub(crate) fn adopt_start(&mut self, start: u64, now: ClockTime) {
        self.start = start;
        if !self.check.is_done {
            self.check = RestartCheck::new(self.log.last(), self.members().clone());
        }
        self.recall.asked_at = None;
        self.send_hellos(now);
        self.ask_disk_reports(now);
    }

    /// Records once per boot that the data folder is no older than what was acknowledged, so that a
    /// restart of the process alone needs no check.
    pub(crate) fn confirm_boot(&mut self) {
        if !self.is_confirmed && self.is_verified() {
            self.is_confirmed = true;
            self.barrier.change().confirms_boot = true;
        }
    }
}
