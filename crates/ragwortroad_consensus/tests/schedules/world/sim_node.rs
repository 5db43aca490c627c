use ragwortroad_consensus::prelude::*;
use ragwortroad_log::prelude::*;

use super::{
    SimClock,
    SimEvent,
    SimProcess, //
};

/// One VM with a disk.
pub(crate) struct SimNode {
    pub(crate) disk: FakeDisk,
    pub(crate) clock: SimClock,
    pub(crate) process: Option<SimProcess>,
    /// Counts up with every end of the process, so that its events end with it.
    pub(crate) epoch: u64,
    /// Counts up with every restart of the machine.
    pub(crate) boot: u64,
    pub(crate) is_paused: bool,
    /// What came in during the pause.
    pub(crate) backlog: Vec<SimEvent>,
    /// An earlier content of the disk, with the index of the members in force then.
    pub(crate) image: Option<(u64, DiskImage)>,
    /// The identity of the disk, once a process has run on it.
    pub(crate) member: Option<MemberId>,
    /// The identity whose disk was lost and that is still to be taken out of the group.
    pub(crate) lost: Option<MemberId>,
    /// What the disk has to show again before it counts as mended after a rollback.
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

    /// Whether it runs, is heard, and holds what was accepted up to the rollback.
    pub(crate) fn is_healthy(&self) -> bool {
        let from = self.rolled_back_from.unwrap_or(0);
        self.lost.is_none()
            && !self.is_paused
            && self.core().is_some_and(|core| {
                core.is_verified() && !core.has_failed() && core.commit_index() >= from
            })
    }

    /// What a person needs to see to find out why it does not take part.
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
