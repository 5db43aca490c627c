use std::time::Duration;

/// Settings of the consensus protocol; they must be the same on all members.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CoreSettings {
    /// Time after hearing from a leader during which a member votes for no other candidate, and
    /// time without contact to a quorum after which a leader steps down.
    pub election_timeout: Duration,
    /// Time between two heartbeats of a leader.
    pub heartbeat_interval: Duration,
    /// Assumed bound, in parts per million, on how much faster or slower than true time a member's
    /// clock runs. The lease is shorter than the election timeout by about twice this fraction.
    pub clock_drift_ppm: u32,
    /// Time after which an unacknowledged message is sent again.
    pub resend_after: Duration,
    /// Limit on the bytes of entries in one message; a single larger entry is still sent.
    pub max_append_bytes: usize,
    /// Limit on the unacknowledged append messages to one member.
    ///
    /// With a limit of one, entries proposed in the meantime share the next message: this takes the
    /// fewest messages and bytes, but adds up to one round trip of latency. Raise it where members
    /// are far apart.
    pub max_in_flight: usize,
    /// Limit on the bytes of one command.
    pub max_command_bytes: usize,
    /// Limit on the commands that are proposed but not committed.
    pub max_proposals: usize,
    /// Limit on the reads that wait for proof that the state is current.
    pub max_reads: usize,
    /// Number of applied entries after which a snapshot is taken.
    pub snapshot_threshold_entries: u64,
    /// Bytes of applied entries after which a snapshot is taken.
    pub snapshot_threshold_bytes: usize,
    /// Number of entries kept in memory behind a snapshot, for members that lag slightly.
    pub trailing_entries: u64,
    /// Limit on the bytes of snapshot data in one message.
    pub max_chunk_bytes: usize,
    /// Number of missing entries up to which a learner may be promoted.
    pub max_promotion_lag: u64,
    /// Skips the restart check after the machine has restarted.
    ///
    /// The check detects a disk that went back to an older state as a whole, as when a VM is
    /// restored from a backup: such a member would vote again in a term in which it has already
    /// voted. With the check, a member of a group of three needs replies from both others after its
    /// machine restarts; if one of them is lost permanently, an operator has to declare that the
    /// disk can be trusted.
    pub trust_disk: bool,
    /// Whether a leader may act, and serve reads, on the basis of a time lease.
    ///
    /// Without leases each read takes a round trip to a quorum. In return a restarted member need
    /// not wait an election timeout for promises made before the restart, so a group whose
    /// processes were all killed has a leader again as soon as a quorum is up.
    pub uses_leader_lease: bool,
    /// Whether a restarted member commits its log before there is a leader, if the disks of a quorum
    /// prove it to be committed.
    pub recalls_commit: bool,
    /// A safety rule to violate, so that tests can show that their checks detect it.
    #[doc(hidden)]
    pub injected_bug: Option<InjectedBug>,
}

/// A bug that a test injects into the core.
#[doc(hidden)]
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InjectedBug {
    /// Runs effects before the changes that they depend on are durable.
    ActBeforeSync,
    /// Does not persist votes.
    SkipVoteWrite,
    /// Grants a vote although a leader was heard within the election timeout.
    VoteWithinLease,
    /// Commits entries of earlier terms by counting replicas.
    CommitOldTerms,
    /// Counts acknowledgements sent before the latest restart of a member.
    CountOldStarts,
    /// Recalls a log of an earlier term than the current one of the members that have it.
    RecallOldTerms,
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
            recalls_commit: false,
            injected_bug: None,
        }
    }
}

/// Clock readings are truncated to milliseconds, so a difference of two readings is off by up to
/// one at each end.
const CLOCK_READING_ERROR: Duration = Duration::from_millis(2);

impl CoreSettings {
    /// Length of the leader lease, counted from the sending of a heartbeat that a quorum
    /// acknowledged.
    ///
    /// Followers measure `election_timeout` on clocks that may run fast, and the leader measures
    /// the lease on a clock that may run slow. With rates within `1 ± d`, the lease ends first if
    /// it is no longer than `election_timeout * (1 - d) / (1 + d)`.
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
