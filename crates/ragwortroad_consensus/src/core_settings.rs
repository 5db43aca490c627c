use std::time::Duration;

/// Settings of the agreement; the same on all members.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CoreSettings {
    /// A member that has heard from a leader votes for no other for this long, and a leader that
    /// has not heard from a quorum for this long steps down.
    pub election_timeout: Duration,
    /// Time between heartbeats.
    pub heartbeat_interval: Duration,
    /// Assumed bound on how much faster or slower than true time a member's clock runs, in
    /// millionths. The lease is shorter than the election timeout by twice this.
    pub clock_drift_ppm: u32,
    /// Time after which something unanswered is sent again.
    pub resend_after: Duration,
    /// Bytes of entries in one message; a single larger entry still goes.
    pub max_append_bytes: usize,
    /// Messages with entries under way to one member.
    ///
    /// With one, what comes in meanwhile goes together in the next: fewest messages and bytes, at
    /// the price of up to one way there and back more. Raise it where members are far apart.
    pub max_in_flight: usize,
    /// Bytes of one command.
    pub max_command_bytes: usize,
    /// Commands proposed and not committed yet.
    pub max_proposals: usize,
    /// Reads waiting for proof that they are current.
    pub max_reads: usize,
    /// A snapshot is wanted after this many entries.
    pub snapshot_threshold_entries: u64,
    /// A snapshot is wanted after this many bytes of entries.
    pub snapshot_threshold_bytes: usize,
    /// Entries kept in memory behind a snapshot, for members that are a little late.
    pub trailing_entries: u64,
    /// Bytes of snapshot in one message.
    pub max_chunk_bytes: usize,
    /// A learner may be promoted when it lacks no more than this many entries.
    pub max_promotion_lag: u64,
    /// Skip the check with other members after the machine has restarted.
    ///
    /// The check is what notices that a disk went back to an older state as a whole, as when a VM
    /// is restored from a backup: the member would vote again in a term in which it has voted.
    /// With it, a member of three needs an answer from both others after a restart of its machine;
    /// if one of them is gone for good, an operator has to say that the disk can be trusted.
    pub trust_disk: bool,
    /// Whether a leader may act, and prove reads, by the time since a quorum confirmed it.
    ///
    /// Without it each read takes a message to a quorum and back, and a member that restarts need
    /// not wait an election timeout for what it may have promised before: a group whose processes
    /// were all killed has a leader again as soon as a quorum is up.
    pub uses_leader_lease: bool,
    /// A rule to break, so that tests can show that their checks fail.
    #[doc(hidden)]
    pub injected_bug: Option<InjectedBug>,
}

/// A rule that a test has the core break.
#[doc(hidden)]
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InjectedBug {
    /// Effects go out before what they depend on is durable.
    ActBeforeSync,
    /// Votes are not written.
    SkipVoteWrite,
    /// A member votes although it has heard from a leader just now.
    VoteWithinLease,
    /// Entries of earlier terms are committed by counting.
    CommitOldTerms,
    /// Acknowledgements of a member's earlier start still count.
    CountOldStarts,
}

impl Default for CoreSettings {
    fn default() -> Self {
        Self {
            election_timeout: Duration::from_millis(1200),
            heartbeat_interval: Duration::from_millis(300),
            clock_drift_ppm: 10_000,
            resend_after: Duration::from_millis(600),
            max_append_bytes: 64 << 10,
            max_in_flight: 1,
            max_command_bytes: 256 << 10,
            max_proposals: 4096,
            max_reads: 4096,
            snapshot_threshold_entries: 10_000,
            snapshot_threshold_bytes: 8 << 20,
            trailing_entries: 1000,
            max_chunk_bytes: 128 << 10,
            max_promotion_lag: 64,
            trust_disk: false,
            uses_leader_lease: true,
            injected_bug: None,
        }
    }
}

/// Readings are cut to whole milliseconds, so a span between two can be off by one at each end.
const CLOCK_READING_ERROR: Duration = Duration::from_millis(2);

impl CoreSettings {
    /// How long after sending a heartbeat that a quorum confirmed its sender may act as leader.
    ///
    /// The members count `election_timeout` on clocks that may run fast, the leader counts this on
    /// one that may run slow; with rates within `1 ± d` it ends first if it is no longer than
    /// `election_timeout * (1 - d) / (1 + d)`.
    pub fn lease_span(&self) -> Duration {
        let million = 1_000_000_u64;
        let drift = u64::from(self.clock_drift_ppm).min(million);
        let full = self.election_timeout.as_micros() as u64;
        let span = full * (million - drift) / (million + drift);
        Duration::from_micros(span).saturating_sub(CLOCK_READING_ERROR)
    }

    pub(crate) fn has_bug(&self, bug: InjectedBug) -> bool {
        self.injected_bug == Some(bug)
    }
}
