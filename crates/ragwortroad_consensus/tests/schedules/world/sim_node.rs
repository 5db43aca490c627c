use ragwortroad_consensus::prelude::*;
use ragwortroad_log::prelude::*;

use super::{
    SimClock,
    SimEvent,
    SimProcess, //
};

/// A simulated VM with a disk.
pub(crate) struct SimNode {
    pub(crate) disk: FakeDisk,
    pub(crate) clock: SimClock,
    pub(crate) process: Option<SimProcess>,
    /// Incremented when the process ends, which cancels the events scheduled for it.
    pub(crate) epoch: u64,
    /// Incremented when the machine restarts.
    pub(crate) boot: u64,
    pub(crate) is_paused: bool,
    /// Events that arrived during a pause.
    pub(crate) backlog: Vec<SimEvent>,
    /// An earlier state of the disk, with the index of the member set that was in force then.
    pub(crate) image: Option<(u64, DiskImage)>,
    /// The identity in the data folder, once a process has opened it.
    pub(crate) member: Option<MemberId>,
    /// The identity whose disk was lost and that has yet to be removed from the group.
    pub(crate) lost: Option<MemberId>,
    /// The commit index that the member has to reach before the disk counts as recovered from a
    /// rollback.
    pub(crate) rolled_back_from: Option<u64>,
}

impl SimNode {
    pub(crate) fn new(clock: SimClock) -> Self {
        Self {
            disk: FakeDisk::default(),
            clock,
            process: None,
            epoch: 0,
            boot: 0,
            is_paused: false,
            backlog: Vec::new(),
            image: None,
            member: None,
            lost: None,
            rolled_back_from: None,
        }
    }

    pub(crate) fn core(&self) -> Option<&ConsensusCore> {
        self.process.as_ref().map(|process| &process.core)
    }

    /// Whether the member runs, is reachable, and holds everything accepted before its rollback.
    pub(crate) fn is_healthy(&self) -> bool {
        let from = self.rolled_back_from.unwrap_or(0);
        self.lost.is_none()
            && !self.is_paused
            && self.core().is_some_and(|core| {
                core.is_verified() && !core.has_failed() && core.commit_index() >= from
            })
    }

    /// Describes the node, to diagnose why it does not take part.
    pub(crate) fn describe(&self) -> String {
        let core = self.core().map(|core| {
            format!(
                "term {} leader {:?} last {:?} commit {} verified {} failed {} members {:?}",
                core.term(),
                core.leader(),
                core.last_position(),
                core.commit_index(),
                core.is_verified(),
                core.has_failed(),
                core.members(),
            )
        });
        let member = self.member;
        let lost = self.lost;
        format!(
            "{member:?} lost {lost:?} paused {}: {core:?}",
            self.is_paused
        )
    }
}
