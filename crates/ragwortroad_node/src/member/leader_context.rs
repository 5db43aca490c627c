use std::collections::BTreeSet;

use ragwortroad_state::prelude::*;
use ragwortroad_types::prelude::*;

use crate::member::proposal_kind::{
    ClaimBatch,
    LineOrigin, //
};

/// What a member keeps while it leads, and drops when it no longer does.
#[derive(Debug)]
pub(crate) struct LeaderContext {
    /// Stamps commands with the state's clock.
    pub(crate) clock: StampClock,
    /// Which nodes may admit work, and under which revision.
    pub(crate) table: AdmissionTable,
    /// Whether orders may be given; nothing until the own grant was applied.
    pub(crate) gate: Option<OrderGate>,
    /// Orders under way; made together with the gate.
    pub(crate) orders: Option<OrderTable>,
    /// Engines that the orders know.
    pub(crate) ordered_engines: BTreeSet<String>,
    /// Claim steps that go into the next command.
    pub(crate) claims: Vec<(ClaimBatch, Vec<ClaimStep>)>,
    /// Accepted changes whose operators wait until they are in force everywhere.
    pub(crate) watches: Vec<ChangeWatch>,
    /// Changes that wait until promises of this member are over.
    pub(crate) held_changes: Vec<(ChangeCommand, LineOrigin)>,
    /// When the state's clock was moved on last.
    pub(crate) last_tick: ClockTime,
}

/// An accepted change on its way into force.
#[derive(Debug)]
pub(crate) struct ChangeWatch {
    /// Its revision.
    pub(crate) revision: u64,
    /// Whom to tell.
    pub(crate) origin: LineOrigin,
    /// When the operator is told what it still waits for.
    pub(crate) until: ClockTime,
}

impl LeaderContext {
    /// The desk of a leader that has applied the first entry of its term at `now`.
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
