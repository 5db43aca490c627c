use std::{
    collections::BTreeMap,
    time::Duration, //
};

use ragwortroad_types::ClockTime;

use crate::{
    LogPosition,
    MemberId,
    MemberSet, //
};

/// What a member has on its disk.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct DiskReport {
    /// Its current term.
    pub(crate) term: u64,
    /// The last entry of its log.
    pub(crate) last: LogPosition,
}

/// What the proof takes into account.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ProofRules {
    /// Whether no disk can have gone back to an older state.
    pub(crate) trusts_disks: bool,
    /// Whether members of a later term than the log's count as well, which is a bug.
    pub(crate) counts_old_terms: bool,
}

/// Decides after a restart whether the disks of the members prove that this member's log is
/// committed, so that it can apply the log before there is a leader.
///
/// An entry of term `t` is committed if a quorum has it on disk and each of them was still in term
/// `t` when it reported so. A leader of a later term needs the vote of one of them, which it gives
/// after its report, and only to a candidate that has the entry.
///
/// The log then also holds every entry that was acknowledged before this member started: such an
/// entry is on a quorum, which has a member in common with those that prove the log. Disks that may
/// have gone back to an older state do not prove that much. There, all voters have to report, and
/// none of them a later entry, so one disk that still has an acknowledged entry is enough.
#[derive(Debug)]
pub(crate) struct RecallCheck {
    /// Whether the check has ended: the log is proved, a leader is known, or recall is disabled.
    pub(crate) is_done: bool,
    /// What this member had on its own disk when it started.
    pub(crate) own: DiskReport,
    /// Reports of other members, and when each arrived.
    reports: BTreeMap<MemberId, (DiskReport, ClockTime)>,
    /// When the other members were last asked.
    pub(crate) asked_at: Option<ClockTime>,
    /// Index up to which the log was proved to be committed.
    pub(crate) proved: Option<u64>,
}

impl RecallCheck {
    pub(crate) fn new(own: DiskReport, is_enabled: bool) -> Self {
        Self {
            is_done: !is_enabled || own.last.index == 0,
            own,
            reports: BTreeMap::new(),
            asked_at: None,
            proved: None,
        }
    }

    pub(crate) fn record_report(&mut self, from: MemberId, report: DiskReport, now: ClockTime) {
        self.reports.insert(from, (report, now));
    }

    /// Forgets reports that arrived more than `max_age` ago: meanwhile their senders may have
    /// acknowledged further entries to a leader that this member does not hear.
    pub(crate) fn expire_reports(&mut self, max_age: Duration, now: ClockTime) {
        self.reports
            .retain(|_, (_, arrived_at)| now.since(*arrived_at) < max_age);
    }

    /// Whether the reports prove that the log which this member started with is committed, and that
    /// no later entry was acknowledged.
    pub(crate) fn is_proved(&self, own: MemberId, voters: &MemberSet, rules: ProofRules) -> bool {
        let report_of = |member: MemberId| {
            let reported = self.reports.get(&member).map(|(report, _)| *report);
            reported.or((member == own).then_some(self.own))
        };
        let last = self.own.last;
        let mut reports = self.reports.values();
        if reports.any(|(report, _)| report.last > last) {
            return false;
        }
        let proves = |report: DiskReport| {
            report.last == last && (report.term == last.term || rules.counts_old_terms)
        };
        let all = voters.voters().count();
        let heard: Vec<DiskReport> = voters.voters().filter_map(report_of).collect();
        let proving = heard.iter().filter(|report| proves(**report)).count();
        proving > all / 2 && (rules.trusts_disks || heard.len() == all)
    }
}
