//! What a message means, by its term and the state of this member.

use ragwortroad_types::ClockTime;

use crate::{
    ConsensusCore,
    InjectedBug,
    MemberId,
    MemberStart,
    MemberState,
    PeerMessage,
    start_table::StartNews, //
};

impl ConsensusCore {
    pub(crate) fn take_message(&mut self, from: MemberId, message: PeerMessage, now: ClockTime) {
        let message = match message {
            PeerMessage::Hello => return self.answer_hello(from),
            reply @ PeerMessage::HelloReply { .. } => {
                return self.take_hello_reply(from, reply, now);
            }
            other => other,
        };
        if !self.check.is_done {
            return self.ask_stranger(from);
        }
        match message {
            PeerMessage::PreVote { term, last } => self.take_pre_vote(from, term, last, now),
            PeerMessage::Vote {
                term,
                last,
                handover,
            } => self.take_vote(from, term, last, handover, now),
            other => self.take_termed(from, other, now),
        }
    }

    /// Takes a message that counts only within its sender's term.
    fn take_termed(&mut self, from: MemberId, message: PeerMessage, now: ClockTime) {
        let Some(term) = message.term() else {
            return;
        };
        if term > self.vote.term {
            self.adopt_term(term, now);
        }
        if let PeerMessage::PreVoteReply { asked, granted, .. } = message {
            return self.take_pre_vote_reply(from, asked, granted, now);
        }
        if term < self.vote.term {
            return self.answer_late(from, &message);
        }
        match message {
            PeerMessage::HeartbeatReply { sent_at, .. } => self.take_ack(from, sent_at, now),
            PeerMessage::AppendReply {
                sent_at,
                outcome,
                starts,
                ..
            } => {
                self.learn_starts(&starts, now);
                self.take_ack(from, sent_at, now);
                self.take_append_reply(from, outcome, now);
            }
            PeerMessage::ChunkReply {
                sent_at,
                index,
                received,
                ..
            } => {
                self.take_ack(from, sent_at, now);
                self.take_chunk_reply(from, index, received, now);
            }
            PeerMessage::VoteReply {
                granted, starts, ..
            } => {
                self.learn_starts(&starts, now);
                self.take_vote_reply(from, granted, now);
            }
            PeerMessage::Handover { .. } => self.take_handover(from, now),
            from_leader => self.take_from_leader(from, from_leader, now),
        }
    }

    /// Tells a leader of an earlier term that there is a later one.
    fn answer_late(&mut self, from: MemberId, message: &PeerMessage) {
        let sent_at = match message {
            PeerMessage::Heartbeat { sent_at, .. } | PeerMessage::Append { sent_at, .. } => {
                *sent_at
            }
            PeerMessage::Chunk(chunk) => chunk.sent_at,
            _ => return,
        };
        let term = self.vote.term;
        self.send(from, PeerMessage::HeartbeatReply { term, sent_at });
    }

    /// Takes note of a member's start; whether its message counts.
    pub(crate) fn learn_start(&mut self, member: MemberId, start: u64, now: ClockTime) -> bool {
        match self.starts.learn(member, start) {
            StartNews::Same => true,
            StartNews::Older => self.settings.breaks(InjectedBug::CountOldStarts),
            StartNews::Newer => {
                if !self.settings.breaks(InjectedBug::CountOldStarts) {
                    self.forget_promises(member, now);
                }
                true
            }
        }
    }

    pub(crate) fn learn_starts(&mut self, starts: &[MemberStart], now: ClockTime) {
        for known in starts {
            let is_member = self.members().find(known.member).is_some();
            if is_member && known.member != self.id {
                self.learn_start(known.member, known.start, now);
            }
        }
    }

    /// Uncounts what `member` promised before its restart, and finds out what it has now.
    fn forget_promises(&mut self, member: MemberId, now: ClockTime) {
        let next_index = self.log.last().index.saturating_add(1);
        match &mut self.state {
            MemberState::PreCandidate(tally) | MemberState::Candidate(tally) => {
                tally.granted.remove(&member);
            }
            MemberState::Leader(state) => {
                if let Some(progress) = state.progress.get_mut(&member) {
                    progress.match_index = 0;
                    progress.probe(next_index);
                    self.send_entries(member, now);
                }
            }
            MemberState::Follower => {}
        }
    }
}
