use serde::{
    Deserialize,
    Serialize, //
};
use snafu::Snafu;

use crate::{
    AcceptedChange,
    FleetConfig, //
};

/// An update that brings a follower to the current revision.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum ConfigUpdate {
    /// The changes that the follower missed; empty if it is as current as the sender.
    Delta {
        /// The accepted changes, in order of their revisions.
        changes: Vec<AcceptedChange>,
        /// [`FleetConfig::digest`] after the last of them.
        digest: u64,
    },
    /// The whole configuration.
    Snapshot(Box<FleetConfig>),
}

/// Why an update cannot be applied.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum UpdateError {
    /// Changes between the follower's revision and the first one in the update are missing.
    #[snafu(display(
        "the update begins at revision {first}, but this node has revision {revision}; request the \
         changes since revision {revision}"
    ))]
    MissingChanges {
        /// The revision that the follower has.
        revision: u64,
        /// The first revision in the update.
        first: u64,
    },
    /// The update is older than the follower's configuration.
    #[snafu(display(
        "the update has revision {offered}, but this node has revision {revision}; request one \
         from another member"
    ))]
    StaleUpdate {
        /// The revision that the follower has.
        revision: u64,
        /// The update's revision.
        offered: u64,
    },
    /// Applying the changes produced another configuration than the members have.
    #[snafu(display(
        "revision {revision} on this node differs from the members' configuration; request a \
         snapshot, and run the same build on all nodes"
    ))]
    Diverged {
        /// The revision at which the difference was detected.
        revision: u64,
    },
}

impl FleetConfig {
    /// Applies `update`, or leaves the configuration unchanged on an error.
    ///
    /// A follower never goes back to an older revision. Otherwise a delayed answer, or one from a
    /// member that lags behind, would restore what an operator removed.
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
        // Most answers contain no changes. Cloning and hashing a large configuration for each of
        // them would use CPU time in proportion to the number of customers.
        if changes.is_empty() {
            return Ok(());
        }
        let mut config = self.clone();
        for change in changes {
            // A repeated delta begins with changes that were already applied.
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
