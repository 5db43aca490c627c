//! Proves after a restart that the log is committed, and applies it: see
//! [`RecallCheck`](crate::RecallCheck).

use ragwortroad_types::ClockTime;

use crate::{
    ConsensusCore,
    InjectedBug,
    MemberId,
    PeerMessage,
    recall_check::{
        DiskReport,
        ProofRules, //
    }, //
};

impl ConsensusCore {
    /// Index up to which the members' disks proved the log to be committed before this member heard
    /// of a leader; `None` if they did not.
    pub fn recalled_index(&self) -> Option<u64> {
        self.recall.proved
    }

    /// Asks the other voters at the heartbeat interval what they have on disk.
    pub(crate) fn ask_disk_reports(&mut self, now: ClockTime) {
        let interval = self.settings.heartbeat_interval;
        let asked_at = self.recall.asked_at;
        if self.recall.is_done || asked_at.is_some_and(|asked_at| now < asked_at.after(interval)) {
            return;
        }
        self.recall.asked_at = Some(now);
        for voter in self.other_voters() {
            self.send(voter, PeerMessage::Hello);
        }
        self.try_recall(now);
    }

    /// Asks a voter to which a connection has just opened.
    pub(crate) fn ask_connected_member(&mut self, member: MemberId) {
        if !self.recall.is_done && self.members().is_voter(member) {
            self.send(member, PeerMessage::Hello);
        }
    }

    pub(crate) fn record_disk_report(
        &mut self,
        from: MemberId,
        report: DiskReport,
        now: ClockTime,
    ) {
        if !self.recall.is_done {
            self.recall.record_report(from, report, now);
            self.try_recall(now);
        }
    }

    /// Commits the log if the reports prove that it is committed.
    fn try_recall(&mut self, now: ClockTime) {
        if self.recall.is_done {
            return;
        }
        let max_age = self.settings.election_timeout;
        self.recall.expire_reports(max_age, now);
        let rules = ProofRules {
            trusts_disks: self.settings.trust_disk,
            counts_old_terms: self.settings.has_bug(InjectedBug::RecallOldTerms),
        };
        let voters = self.members.latest();
        if self.recall.is_proved(self.id, voters, rules) {
            self.recall.is_done = true;
            let last = self.recall.own.last.index;
            self.recall.proved = Some(last);
            self.commit_to(last);
        }
    }
}
