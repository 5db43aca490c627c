use std::collections::BTreeSet;

use ragwortroad_state::prelude::*;
use ragwortroad_types::prelude::*;

use crate::member::proposal_kind::{
    ClaimBatch,
    LineOrigin, //
};

/// State that a member holds only while it leads.
#[derive(Debug)]
pub(crate) struct LeaderContext {
    /// Stamps commands with the state's clock.
    pub(crate) clock: StampClock,
    /// Which nodes may admit requests, and under which revision.
    pub(crate) table: AdmissionTable,
    /// Whether orders may be sent; `None` until the log has granted the lease for orders to this
    /// node.
    pub(crate) gate: Option<OrderGate>,
    /// Orders in flight; created together with the gate.
    pub(crate) orders: Option<OrderTable>,
    /// Engines that the order table knows.
    pub(crate) ordered_engines: BTreeSet<String>,
    /// Claim steps for the next command, by batch.
    pub(crate) claims: Vec<(ClaimBatch, Vec<ClaimStep>)>,
    /// Accepted changes whose operators wait until they are in force everywhere.
    pub(crate) watches: Vec<ChangeWatch>,
    /// Changes held back until this member's promises have ended.
    pub(crate) held_changes: Vec<(ChangeCommand, LineOrigin)>,
    /// When the state's clock was last advanced.
    pub(crate) last_tick: ClockTime,
}

/// An accepted change that is not yet known to be in force everywhere.
#[derive(Debug)]
pub(crate) struct ChangeWatch {
    pub(crate) revision: u64,
    /// The receiver of the response.
    pub(crate) origin: LineOrigin,
    /// When the operator is told which nodes the change still waits for.
    pub(crate) until: ClockTime,
}

impl LeaderContext {
    /// Creates the context of a leader that has applied the first entry of its term at `now`.
    pub(crate) fn new(state: &FleetState, timing: FollowTiming, now: ClockTime) -> Self {
        Self {
            clock: StampClock::start(state.now(), now),
            table: AdmissionTable::new(timing, now, state.longest_grace()),
            gate: None,
            orders: None,
            ordered_engines: BTreeSet::new(),
            claims: Vec::new(),
            watches: Vec::new(),
            held_changes: Vec::new(),
            last_tick: now,
        }
    }
}
