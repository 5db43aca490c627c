//! Dispatches messages by their term and the role of this member.

use ragwortroad_types::ClockTime;

use crate::{
    ConsensusCore,
    InjectedBug,
    MemberId,
    MemberStart,
    MemberState,
    PeerMessage,
    start_table::StartOrder, //
};

impl ConsensusCore {
    pub(crate) fn handle_message(&mut self, from: MemberId, message: PeerMessage, now: ClockTime) {
        let message = match message {
            PeerMessage::Hello => return self.handle_hello(from),
            reply @ PeerMessage::HelloReply { .. } => {
                return self.handle_hello_reply(from, reply, now);
            }
            other => other,
        };
        if !self.check.is_done {
            return self.query_unknown_member(from);
        }
        match message {
            PeerMessage::PreVote { term, last } => self.handle_pre_vote(from, term, last, now),
            PeerMessage::Vote {
                term,
                last,
                handover,
            } => self.handle_vote(from, term, last, handover, now),
            other => self.handle_term_message(from, other, now),
        }
    }

    /// Handles a message that is valid only within its sender's term.
    fn handle_term_message(&mut self, from: MemberId, message: PeerMessage, now: ClockTime) {
        let Some(term) = message.term() else {
            return;
        };
        if term > self.vote.term {
            self.adopt_term(term, now);
        }
        if let PeerMessage::PreVoteReply { asked, granted, .. } = message {
            return self.handle_pre_vote_reply(from, asked, granted, now);
        }
        if term < self.vote.term {
            return self.reply_stale_term(from, &message);
        }
        match message {
            PeerMessage::HeartbeatReply { sent_at, .. } => self.handle_ack(from, sent_at, now),
            PeerMessage::AppendReply {
                sent_at,
                outcome,
                starts,
                ..
            } => {
                self.observe_starts(&starts, now);
                self.handle_ack(from, sent_at, now);
                self.handle_append_reply(from, outcome, now);
            }
            PeerMessage::ChunkReply {
                sent_at,
                index,
                received,
                ..
            } => {
                self.handle_ack(from, sent_at, now);
                self.handle_chunk_reply(from, index, received, now);
            }
            PeerMessage::VoteReply {
                granted, starts, ..
            } => {
                self.observe_starts(&starts, now);
                self.handle_vote_reply(from, granted, now);
            }
            PeerMessage::Handover { .. } => self.handle_handover(from, now),
            from_leader => self.handle_leader_message(from, from_leader, now),
        }
    }

    /// Informs the leader of an earlier term that a later term exists.
    fn reply_stale_term(&mut self, from: MemberId, message: &PeerMessage) {
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

    /// Records a member's start number, and returns whether its message counts.
    pub(crate) fn observe_start(&mut self, member: MemberId, start: u64, now: ClockTime) -> bool {
        match self.starts.observe(member, start) {
            StartOrder::Same => true,
            StartOrder::Older => self.settings.has_bug(InjectedBug::CountOldStarts),
            StartOrder::Newer => {
                if !self.settings.has_bug(InjectedBug::CountOldStarts) {
                    self.discard_acks(member, now);
                }
                true
            }
        }
    }

    pub(crate) fn observe_starts(&mut self, starts: &[MemberStart], now: ClockTime) {
        for known in starts {
            let is_member = self.members().find(known.member).is_some();
            if is_member && known.member != self.id {
                self.observe_start(known.member, known.start, now);
            }
        }
    }

    /// Discards the votes and acknowledgements that `member` gave before its restart, and probes
    /// the log it has now.
    fn discard_acks(&mut self, member: MemberId, now: ClockTime) {
        let next_index = self.log.last().index.saturating_add(1);
        match &mut self.state {
            MemberState::PreCandidate { supporters, votes } => {
                supporters.granted.remove(&member);
                if let Some(votes) = votes {
                    votes.granted.remove(&member);
                }
            }
            MemberState::Candidate(votes) => {
                votes.granted.remove(&member);
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
