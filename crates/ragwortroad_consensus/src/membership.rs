//! Membership changes and leadership transfer.

use ragwortroad_types::ClockTime;

use crate::{
    ChangeRefusal,
    ConsensusCore,
    CoreAction,
    EntryPayload,
    MemberChange,
    MemberId,
    MemberProgress,
    MemberSet,
    PeerMessage,
    ProposeResult, //
};

impl ConsensusCore {
    pub(crate) fn change_member(&mut self, token: u64, change: &MemberChange, now: ClockTime) {
        let result = if self.is_leader() {
            let checked = self.check_change(change, now);
            checked.map_err(ProposeResult::Refused)
        } else {
            let leader = self.leader;
            Err(ProposeResult::NotLeader { leader })
        };
        match result {
            Ok(set) => self.append_members(token, set, now),
            Err(result) => self.out.push(CoreAction::ProposeDone { token, result }),
        }
    }

    /// Returns the member set after `change`, if the change is allowed now.
    ///
    /// Only one change may be in progress, and only after the leader has committed an entry of its
    /// own term. Otherwise two leaders that each changed the same set could each form a quorum
    /// within their own new set.
    fn check_change(
        &self,
        change: &MemberChange,
        now: ClockTime,
    ) -> Result<MemberSet, ChangeRefusal> {
        if !self.accepts_member_changes() {
            return Err(ChangeRefusal::ChangeUnderWay);
        }
        let set = self.members().with_change(change)?;
        match *change {
            MemberChange::Promote { member } if !self.has_caught_up(member, now) => {
                Err(ChangeRefusal::NotCaughtUp)
            }
            MemberChange::Remove { member } if member == self.id => Err(ChangeRefusal::IsLeader),
            _ => Ok(set),
        }
    }

    /// Whether this member leads and no membership change is in progress.
    pub fn accepts_member_changes(&self) -> bool {
        let first_index = self.leader_state().map(|state| state.first_index);
        first_index.is_some_and(|index| self.commit >= index.max(self.members.latest_index()))
    }

    /// Whether `member` has nearly all entries and was heard from within the election timeout.
    /// Always `false` unless this member leads.
    ///
    /// A voter that lags far behind counts towards the quorum size but cannot acknowledge new
    /// entries, so the loss of one more member would stop the group.
    pub fn has_caught_up(&self, member: MemberId, now: ClockTime) -> bool {
        let last = self.log.last().index;
        let settings = &self.settings;
        let progress = self
            .leader_state()
            .and_then(|state| state.progress.get(&member));
        progress.is_some_and(|progress| {
            let acked = progress.acked_at;
            let has_nearly_all = progress.match_index + settings.max_promotion_lag >= last;
            let is_responsive = acked.is_some_and(|at| now < at.after(settings.election_timeout));
            progress.match_index > 0 && has_nearly_all && is_responsive
        })
    }

    fn append_members(&mut self, token: u64, set: MemberSet, now: ClockTime) {
        let own = self.id;
        let next_index = self.log.last().index + 1;
        if let Some(state) = self.leader_state_mut() {
            state
                .progress
                .retain(|member, _| set.find(*member).is_some());
            for record in set.records() {
                let new_progress = || MemberProgress::new(next_index, now);
                state
                    .progress
                    .entry(record.member)
                    .or_insert_with(new_progress);
            }
            state.progress.remove(&own);
        }
        let index = self.append_as_leader(&EntryPayload::Members(set), now);
        if let Some(state) = self.leader_state_mut() {
            state.proposals.insert(index, token);
        }
    }

    /// Starts to transfer leadership to a voter that has all entries.
    pub(crate) fn transfer_leadership(&mut self, now: ClockTime) {
        let until = now.after(self.settings.election_timeout);
        if let Some(state) = self.leader_state_mut() {
            state.transfer_deadline = Some(until);
        }
        self.try_transfer_leadership(now);
    }

    /// Transfers leadership if a voter has all entries.
    ///
    /// The leader stops acting for good before it requests the election, so its lease is over and
    /// voters need not wait for it. If the request is lost, an ordinary election follows.
    pub(crate) fn try_transfer_leadership(&mut self, now: ClockTime) {
        let Some(until) = self
            .leader_state()
            .and_then(|state| state.transfer_deadline)
        else {
            return;
        };
        if now >= until {
            if let Some(state) = self.leader_state_mut() {
                state.transfer_deadline = None;
            }
            return;
        }
        if let Some(transferee) = self.find_transferee() {
            let term = self.vote.term;
            self.step_down();
            self.set_leader(None);
            self.reset_election_timer(now);
            self.send(transferee, PeerMessage::Handover { term });
        }
    }

    fn find_transferee(&self) -> Option<MemberId> {
        let last = self.log.last().index;
        let progress = &self.leader_state()?.progress;
        let voters = self.other_voters().into_iter();
        let complete = voters.filter_map(|voter| {
            let progress = progress.get(&voter)?;
            let acked = progress.acked_at?;
            (progress.match_index == last).then_some((acked, voter))
        });
        complete.max().map(|(_, voter)| voter)
    }
}
