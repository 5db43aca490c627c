use serde::{
    Deserialize,
    Serialize, //
};
use snafu::Snafu;

use crate::{
    AcceptedChange,
    FleetConfig, //
};

/// What a follower needs to come up to a revision.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum ConfigUpdate {
    /// The changes it missed, in order; none where it is as current as who answers.
    Delta {
        /// The changes.
        changes: Vec<AcceptedChange>,
        /// [`FleetConfig::digest`] after the last of them.
        digest: u64,
    },
    /// The whole configuration.
    Snapshot(Box<FleetConfig>),
}

/// Why an update cannot be followed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum UpdateError {
    /// Changes between the follower's revision and the update's first are missing.
    #[snafu(display(
        "the update begins at revision {first} and this node has {revision}; ask for the changes \
         since {revision}"
    ))]
    MissingChanges {
        /// The follower's revision.
        revision: u64,
        /// The update's first.
        first: u64,
    },
    /// The update is older than what the follower has.
    #[snafu(display(
        "the update is of revision {offered} and this node has {revision}; ask another member"
    ))]
    StaleUpdate {
        /// The follower's revision.
        revision: u64,
        /// The update's.
        offered: u64,
    },
    /// Following the changes gave another configuration than the members have.
    #[snafu(display(
        "revision {revision} came out differently here than on the members; ask for a snapshot, \
         and run the same program version on all nodes"
    ))]
    Diverged {
        /// The revision.
        revision: u64,
    },
}

impl FleetConfig {
    /// Comes up to the revision of `update`, or leaves everything as it was.
    ///
    /// A follower never goes back to an older revision: an answer that was long on the way, or one
    /// from a member that fell behind, would otherwise bring back what an operator took away.
    pub fn apply_update(&mut self, update: ConfigUpdate) -> Result<(), UpdateError> {
        match update {
            ConfigUpdate::Delta { changes, digest } => self.apply_delta(&changes, digest),
            ConfigUpdate::Snapshot(config) => {
                if config.revision < self.revision {
                    return StaleUpdateSnafu {
                        revision: self.revision,
                        offered: config.revision,
                    }
                    .fail();
                }
                *self = *config;
                Ok(())
            }
        }
    }

    fn apply_delta(&mut self, changes: &[AcceptedChange], digest: u64) -> Result<(), UpdateError> {
        // Most answers bring nothing new; copying and hashing a large configuration for each would
        // take a share of the processor that grows with the customers.
        if changes.is_empty() {
            return Ok(());
        }
        let mut config = self.clone();
        for change in changes {
            // A repeated delta begins with changes that are in force already.
            if change.revision <= config.revision {
                continue;
            }
            if change.revision > config.revision + 1 {
                return MissingChangesSnafu {
                    revision: self.revision,
                    first: change.revision,
                }
                .fail();
            }
            if !config.apply_accepted_edits(&change.edits) {
                return DivergedSnafu {
                    revision: change.revision,
                }
                .fail();
            }
        }
        let offered = changes.last().map_or(config.revision, |last| last.revision);
        if offered < self.revision {
            return StaleUpdateSnafu {
                revision: self.revision,
                offered,
            }
            .fail();
        }
        if config.digest() != digest {
            return DivergedSnafu {
                revision: config.revision,
            }
            .fail();
        }
        *self = config;
        Ok(())
    }
}
