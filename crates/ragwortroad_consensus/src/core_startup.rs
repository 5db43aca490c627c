//! Starts a member from the content of its data folder.

use std::sync::Arc;

use ragwortroad_log::{
    StoredEntry,
    StoredState,
    VoteRecord, //
};
use ragwortroad_types::ClockTime;
use snafu::{
    ResultExt,
    ensure, //
};

use crate::{
    ConsensusCore,
    CoreAction,
    CoreError,
    CoreSettings,
    CoreStart,
    EntryLog,
    EntryPayload,
    LogPosition,
    MemberHistory,
    MemberId,
    MemberSet,
    MemberState,
    PersistBarrier,
    RecallCheck,
    RestartCheck,
    StartTable,
    SyncTime,
    core_error::{
        AlreadyBootstrappedSnafu,
        NotInitialMemberSnafu,
        UndecodableSnafu, //
    },
    recall_check::DiskReport, //
};

impl ConsensusCore {
    /// Creates a member from `start`, and returns it with the first actions to perform.
    ///
    /// # Errors
    ///
    /// Fails if a stored value cannot be decoded, or if `start` names initial members although the
    /// folder is in use or without naming this member.
    pub fn new(
        settings: CoreSettings,
        start: CoreStart,
        now: ClockTime,
        seed: u64,
    ) -> Result<(Self, Vec<CoreAction>), CoreError> {
        let stored = start.stored;
        let (base, members) = read_snapshot(&stored)?;
        let mut history = MemberHistory::new(base.index, members);
        for entry in &stored.entries {
            if let EntryPayload::Members(set) = EntryPayload::decode(&entry.bytes)? {
                history.push(entry.index, set);
            }
        }
        let is_unused = stored.snapshot.is_none() && stored.entries.is_empty();
        let log = EntryLog::new(base, stored.entries);
        let is_known_current = stored.is_new || stored.is_same_boot;
        let is_trusted = is_known_current || settings.trust_disk || start.initial_members.is_some();
        let check = if is_trusted {
            RestartCheck::skipped()
        } else {
            RestartCheck::new(log.last(), history.latest().clone())
        };
        // A leader may rely for its lease on a promise that this member made before it restarted.
        let votes_blocked_until = if stored.is_new || !settings.uses_leader_lease {
            now
        } else {
            now.after(settings.election_timeout)
        };
        let own_report = DiskReport {
            term: stored.vote.term,
            last: log.last(),
        };
        let recall = RecallCheck::new(own_report, settings.recalls_commit);
        let mut core = Self {
            settings,
            id: MemberId(stored.identity),
            start: stored.start,
            raised_start: stored.start,
            rng: Self::seeded(seed),
            vote: stored.vote,
            leader: None,
            log,
            members: history,
            snapshot: stored.snapshot.map(Arc::new),
            commit: base.index,
            applied: base.index,
            applied_bytes: 0,
            snapshot_requested: false,
            leader_match_index: base.index,
            state: MemberState::Follower,
            barrier: PersistBarrier::default(),
            sync_time: SyncTime::default(),
            lost_elections: 0,
            promise: None,
            check,
            recall,
            starts: StartTable::from_stored(&stored.starts),
            stale_frame: None,
            is_confirmed: false,
            assembly: None,
            no_vote_until: votes_blocked_until,
            election_deadline: now,
            has_failed: false,
            out: Vec::new(),
        };
        match core.settings.uses_leader_lease {
            true => core.reset_election_timer(now),
            // A pre-vote is not binding, and a member that hears a leader refuses it.
            false => core.reset_pre_vote_timer(now),
        }
        if let Some(initial_members) = start.initial_members {
            ensure!(is_unused, AlreadyBootstrappedSnafu);
            ensure!(initial_members.is_voter(core.id), NotInitialMemberSnafu);
            core.append_bootstrap_entry(initial_members, now);
        }
        core.emit_stored_snapshot();
        core.send_hellos(now);
        let first = core.handle(crate::CoreInput::Tick, now);
        Ok((core, first))
    }

    /// Appends the first entry, as if this member had been elected in term 1.
    fn append_bootstrap_entry(&mut self, initial_members: MemberSet, now: ClockTime) {
        let vote = VoteRecord {
            term: self.vote.term.max(1),
            voted_for: self.vote.voted_for.or(Some(self.id.0)),
        };
        self.vote = vote;
        self.barrier.change().vote = Some(vote);
        let payload = EntryPayload::Members(initial_members.clone());
        let entry = StoredEntry {
            index: 1,
            term: 1,
            bytes: payload.encode(),
        };
        self.barrier.change().entries.push(entry.clone());
        self.log.push(entry);
        self.members.push(1, initial_members);
        self.election_deadline = now;
    }

    /// Emits the state of the stored snapshot.
    fn emit_stored_snapshot(&mut self) {
        if let Some(snapshot) = &self.snapshot {
            let index = snapshot.index;
            let bytes = snapshot.bytes.clone();
            self.out.push(CoreAction::RestoreSnapshot { index, bytes });
        }
    }
}

fn read_snapshot(stored: &StoredState) -> Result<(LogPosition, MemberSet), CoreError> {
    let Some(snapshot) = &stored.snapshot else {
        return Ok((LogPosition::default(), MemberSet::default()));
    };
    let what = "the members in the snapshot";
    let members = postcard::from_bytes(&snapshot.members).context(UndecodableSnafu { what })?;
    let base = LogPosition {
        term: snapshot.term,
        index: snapshot.index,
    };
    Ok((base, members))
}
