//! Leader election: campaigning, and granting votes.

use ragwortroad_log::VoteRecord;
use ragwortroad_types::ClockTime;

use crate::{
    ConsensusCore,
    CoreAction,
    LogPosition,
    MemberId,
    MemberState,
    PeerMessage,
    ProposeResult,
    VotePromise,
    VoteTally,
    consensus_core::VOTE_SYNCS,
    persist_barrier::DeferredEffect, //
};

impl ConsensusCore {
    pub(crate) fn tick(&mut self, now: ClockTime) {
        self.send_hellos(now);
        self.ask_disk_reports(now);
        if self.is_leader() {
            self.tick_leader(now);
        } else if self.may_campaign(now) {
            self.start_pre_vote(now);
        } else if now >= self.election_deadline {
            self.reset_election_timer(now);
            self.set_leader(None);
        }
    }

    fn may_campaign(&self, now: ClockTime) -> bool {
        let is_late = now >= self.election_deadline && now >= self.no_vote_until;
        // The next vote would only queue behind this one. A founder has voted before anybody asks.
        let is_candidate = matches!(self.state, MemberState::Candidate(_));
        let is_for_other = self.vote.voted_for != Some(self.id.0);
        let is_voting = (is_candidate || is_for_other) && !self.barrier.is_vote_durable();
        is_late && !is_voting && self.is_electable() && self.log.last() >= self.check.log_floor
    }

    /// Starts a pre-vote before raising the term.
    ///
    /// A member that is repeatedly partitioned would otherwise return with a higher term each time
    /// and depose a leader that all others hear well.
    fn start_pre_vote(&mut self, now: ClockTime) {
        self.reset_pre_vote_timer(now);
        self.set_leader(None);
        let mut supporters = VoteTally::default();
        supporters.granted.insert(self.id);
        let is_alone = supporters.has_quorum(self.members());
        let votes = match std::mem::replace(&mut self.state, MemberState::Follower) {
            MemberState::Candidate(votes) => {
                self.lost_elections += 1;
                Some(votes)
            }
            MemberState::PreCandidate { votes, .. } => votes,
            _ => None,
        };
        self.state = MemberState::PreCandidate { supporters, votes };
        // Nothing has been written for a pre-vote, so others are supported again when it is over.
        self.promise = Some(VotePromise {
            candidate: self.id,
            last: self.log.last(),
            until: self.election_deadline,
        });
        if is_alone {
            return self.start_vote(false, now);
        }
        let term = self.vote.term.saturating_add(1);
        let last = self.log.last();
        for voter in self.other_voters() {
            self.send(voter, PeerMessage::PreVote { term, last });
        }
    }

    /// Votes for itself in a new term and, once that vote is durable, requests votes from the
    /// others.
    pub(crate) fn start_vote(&mut self, handover: bool, now: ClockTime) {
        self.reset_candidate_timer(now);
        self.set_leader(None);
        self.leader_match_index = self.commit;
        let term = self.vote.term.saturating_add(1);
        self.set_vote(VoteRecord {
            term,
            voted_for: Some(self.id.0),
        });
        self.state = MemberState::Candidate(VoteTally::default());
        self.barrier.defer(DeferredEffect::OwnVote(term));
        let last = self.log.last();
        for voter in self.other_voters() {
            let message = PeerMessage::Vote {
                term,
                last,
                handover,
            };
            self.send_after_persist(voter, message);
        }
    }

    pub(crate) fn count_own_vote(&mut self, term: u64, now: ClockTime) {
        if term == self.vote.term {
            if matches!(self.state, MemberState::Candidate(_)) {
                self.reset_candidate_timer(now);
                self.promise_vote(self.id, self.log.last(), now);
            }
            self.count_vote(self.id, now);
        }
    }

    /// Gives a candidate time for the votes of others once this member's vote is durable.
    pub(crate) fn confirm_vote(
        &mut self,
        candidate: MemberId,
        term: u64,
        last: LogPosition,
        now: ClockTime,
    ) {
        let is_waiting = matches!(self.state, MemberState::Follower) && self.leader.is_none();
        if term == self.vote.term && is_waiting {
            self.reset_vote_timer(now);
            self.promise_vote(candidate, last, now);
        }
    }

    /// Supports no candidate but this one for as long as its election may take.
    fn promise_vote(&mut self, candidate: MemberId, last: LogPosition, now: ClockTime) {
        let sync = self.sync_time.expected(now);
        let until = now.after(self.settings.election_timeout / 8 + sync * VOTE_SYNCS);
        self.promise = Some(VotePromise {
            candidate,
            last,
            until,
        });
    }

    /// Whether no other candidate that is supported may still win.
    fn may_support(&self, candidate: MemberId, last: LogPosition, now: ClockTime) -> bool {
        self.promise.as_ref().is_none_or(|promise| {
            promise.candidate == candidate || last > promise.last || now >= promise.until
        })
    }

    /// Whether the last promise was to `candidate`, which has not won with it. Perhaps it hears
    /// nobody, so others come first.
    fn has_lapsed(&self, candidate: MemberId, now: ClockTime) -> bool {
        let promise = self.promise.as_ref();
        promise.is_some_and(|promise| promise.candidate == candidate && now >= promise.until)
    }

    /// Supports a candidate in the election that follows its pre-vote.
    ///
    /// A candidate that asks again has failed before, so it is not supported for longer.
    fn support(&mut self, candidate: MemberId, last: LogPosition, now: ClockTime) {
        let is_new = |promise: &VotePromise| promise.candidate != candidate;
        if self.promise.as_ref().is_none_or(is_new) {
            self.promise_vote(candidate, last, now);
            self.reset_support_timer(now);
        }
    }

    fn count_vote(&mut self, from: MemberId, now: ClockTime) {
        let votes = match &mut self.state {
            MemberState::Candidate(votes) => Some(votes),
            MemberState::PreCandidate { votes, .. } => votes.as_mut(),
            _ => None,
        };
        if let Some(votes) = votes {
            votes.granted.insert(from);
            if votes.has_quorum(self.members.latest()) {
                self.become_leader(now);
            }
        }
    }

    pub(crate) fn handle_pre_vote(
        &mut self,
        from: MemberId,
        asked: u64,
        last: LogPosition,
        now: ClockTime,
    ) {
        let term = self.vote.term;
        let is_electable = asked > term
            && self.barrier.is_vote_durable()
            && self.is_free_to_vote(now)
            && self.is_log_up_to_date(last);
        if is_electable && self.is_outranked_by(from, last) && !self.has_lapsed(from, now) {
            self.state = MemberState::Follower;
            self.promise = None;
        }
        let granted = is_electable && self.may_support(from, last, now);
        if granted {
            self.support(from, last, now);
        }
        let reply = PeerMessage::PreVoteReply {
            asked,
            term,
            granted,
        };
        self.send(from, reply);
    }

    /// Whether this member gives way to another that asks at the same time whether it would be
    /// elected. The member with the more recent log, then with the higher identity, goes on.
    fn is_outranked_by(&self, from: MemberId, last: LogPosition) -> bool {
        let is_rival = matches!(self.state, MemberState::PreCandidate { .. });
        is_rival && (last, from) > (self.log.last(), self.id)
    }

    pub(crate) fn handle_pre_vote_reply(
        &mut self,
        from: MemberId,
        asked: u64,
        granted: bool,
        now: ClockTime,
    ) {
        if !granted || asked != self.vote.term.saturating_add(1) {
            return;
        }
        if let MemberState::PreCandidate { supporters, .. } = &mut self.state {
            supporters.granted.insert(from);
            if supporters.has_quorum(self.members.latest()) {
                self.start_vote(false, now);
            }
        }
    }

    /// Grants or refuses a vote; does not reply while a leader may rely on this member for its
    /// lease.
    ///
    /// A leader that transfers leadership stops acting before it requests the election, so there is
    /// no lease to wait for.
    pub(crate) fn handle_vote(
        &mut self,
        from: MemberId,
        term: u64,
        last: LogPosition,
        handover: bool,
        now: ClockTime,
    ) {
        if term >= self.vote.term && !handover && !self.is_free_to_vote(now) {
            return;
        }
        if term > self.vote.term {
            self.adopt_term(term, now);
        }
        let granted =
            term == self.vote.term && self.may_vote_for(from) && self.is_log_up_to_date(last);
        if granted {
            self.reset_vote_timer(now);
            self.promise_vote(from, last, now);
            self.set_vote(VoteRecord {
                term,
                voted_for: Some(from.0),
            });
            self.barrier
                .defer(DeferredEffect::VoteFor(from, term, last));
        }
        let reply = PeerMessage::VoteReply {
            term: self.vote.term,
            granted,
            starts: self.starts.starts_for(from, self.members.latest()),
        };
        self.send_after_persist(from, reply);
    }

    fn may_vote_for(&self, candidate: MemberId) -> bool {
        match self.vote.voted_for {
            Some(voted_for) => voted_for == candidate.0,
            None => true,
        }
    }

    fn is_log_up_to_date(&self, last: LogPosition) -> bool {
        last >= self.log.last() && last >= self.check.log_floor
    }

    pub(crate) fn handle_vote_reply(&mut self, from: MemberId, granted: bool, now: ClockTime) {
        if granted {
            self.count_vote(from, now);
        }
    }

    pub(crate) fn handle_handover(&mut self, from: MemberId, now: ClockTime) {
        let is_from_leader = self.leader == Some(from);
        let is_new = self.log.last() >= self.check.log_floor;
        if is_from_leader && is_new && self.is_electable() {
            self.start_vote(true, now);
        }
    }

    /// Moves to a later term as a follower.
    pub(crate) fn adopt_term(&mut self, term: u64, now: ClockTime) {
        self.step_down();
        self.set_leader(None);
        self.leader_match_index = self.commit;
        self.reset_election_timer(now);
        self.set_vote(VoteRecord {
            term,
            voted_for: None,
        });
    }

    pub(crate) fn set_vote(&mut self, vote: VoteRecord) {
        if self.vote != vote {
            self.vote = vote;
            self.barrier.change().vote = Some(vote);
        }
    }

    /// Returns to follower in the same term, and fails the pending proposals and reads of a leader.
    pub(crate) fn step_down(&mut self) {
        let state = std::mem::replace(&mut self.state, MemberState::Follower);
        self.lost_elections += u32::from(matches!(state, MemberState::Candidate(_)));
        let MemberState::Leader(state) = state else {
            return;
        };
        for &token in state.proposals.values() {
            let result = ProposeResult::Unknown;
            self.out.push(CoreAction::ProposeDone { token, result });
        }
        for read in &state.reads {
            let token = read.token;
            let leader = None;
            self.out.push(CoreAction::ReadRefused { token, leader });
        }
    }

    pub(crate) fn other_voters(&self) -> Vec<MemberId> {
        let voters = self.members().voters();
        voters.filter(|voter| *voter != self.id).collect()
    }
}
