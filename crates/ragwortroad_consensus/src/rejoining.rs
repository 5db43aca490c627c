//! The check a member makes after a restart: see [`RestartCheck`](crate::RestartCheck).

use ragwortroad_types::ClockTime;

use crate::{
    ConsensusCore,
    MemberId,
    PeerMessage, //
};

impl ConsensusCore {
    /// Asks the others, from time to time, until enough have answered.
    pub(crate) fn say_hello(&mut self, now: ClockTime) {
        let every = self.settings.heartbeat_every;
        let is_due = self
            .check
            .asked_at
            .is_none_or(|asked_at| now >= asked_at.after(every));
        if self.check.is_done || !is_due {
            return;
        }
        self.check.asked_at = Some(now);
        if self.check.has_enough(self.id) {
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

    /// A member that knows no group asks whoever turns up.
    pub(crate) fn ask_stranger(&mut self, from: MemberId) {
        if self.check.members().is_empty() {
            self.send(from, PeerMessage::Hello);
        }
    }

    /// Tells a restarted member what is known here, once that is durable: a position that a crash
    /// takes back would be a floor that no candidate can reach.
    pub(crate) fn answer_hello(&mut self, from: MemberId) {
        let reply = PeerMessage::HelloReply {
            asked: self.starts.latest(from),
            term: self.vote.term,
            last: self.log.last(),
            members_index: self.members.latest_index(),
            members: self.members().clone(),
            starts: self.starts.wire(from, self.members.latest()),
        };
        self.send_held(from, reply);
    }

    pub(crate) fn take_hello_reply(&mut self, from: MemberId, reply: PeerMessage, now: ClockTime) {
        let PeerMessage::HelloReply {
            asked,
            term,
            last,
            members_index,
            members,
            starts,
        } = reply
        else {
            return;
        };
        if self.check.is_done || asked != self.start {
            return;
        }
        let had = self.check.members().clone();
        self.check
            .answer(from, term, last, (members_index, members));
        for known in &starts {
            self.learn_start(known.member, known.start, now);
        }
        if self.check.has_enough(self.id) {
            self.finish_check(now);
        } else if *self.check.members() != had {
            self.check.asked_at = None;
            self.say_hello(now);
        }
    }

    fn finish_check(&mut self, now: ClockTime) {
        self.check.finish();
        if self.check.vote_floor > self.vote.term {
            self.adopt_term(self.check.vote_floor, now);
        }
    }
}
