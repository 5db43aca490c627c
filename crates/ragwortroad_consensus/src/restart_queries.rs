//! The check a member makes after a restart: see [`RestartCheck`](crate::RestartCheck).

use ragwortroad_log::VoteRecord;
use ragwortroad_types::ClockTime;

use crate::{
    ConsensusCore,
    MemberId,
    PeerMessage, //
};

impl ConsensusCore {
    /// Asks the others, from time to time, until enough have answered.
    pub(crate) fn send_hellos(&mut self, now: ClockTime) {
        let every = self.settings.heartbeat_interval;
        let is_due = self
            .check
            .asked_at
            .is_none_or(|asked_at| now >= asked_at.after(every));
        if self.check.is_done || !is_due {
            return;
        }
        self.check.asked_at = Some(now);
        if self.check.has_enough_answers(self.id) {
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

    /// Asks whoever turns up and is not among the members known here: while this member was away
    /// all that it knew may have been replaced, or it had not yet heard of any.
    pub(crate) fn query_unknown_member(&mut self, from: MemberId) {
        if self.check.members().find(from).is_none() {
            self.send(from, PeerMessage::Hello);
        }
    }

    /// Tells a restarted member what is known here, once that is durable: a position that a crash
    /// takes back would be a floor that no candidate can reach.
    ///
    /// The member's start becomes durable with it: after a restart here, an acknowledgement that
    /// does not carry that start would let a leader count one of the member's earlier start.
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
        if self.check.is_done || asked != self.start {
            return;
        }
        let previous = self.check.members().clone();
        self.check.record_answer(from, term, last, members);
        for known in &starts {
            self.observe_start(known.member, known.start, now);
        }
        if self.check.has_enough_answers(self.id) {
            self.finish_check(now);
        } else if *self.check.members() != previous {
            self.check.asked_at = None;
            self.send_hellos(now);
        }
    }

    /// Takes over what the answers forbid.
    ///
    /// This member may have voted in any term up to the floor, so its vote there is used up: it is
    /// written as one for itself, which it never asks anyone to count.
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

    /// Tells the disk once in a boot that it is not older than what was acknowledged, so that a
    /// restart of the process alone needs no check.
    pub(crate) fn confirm_boot(&mut self) {
        if !self.is_confirmed && self.is_verified() {
            self.is_confirmed = true;
            self.barrier.change().confirms_boot = true;
        }
    }
}
