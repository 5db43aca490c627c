use std::collections::{
    BTreeMap,
    VecDeque, //
};

use serde::{
    Deserialize,
    Serialize, //
};

use crate::{
    AcceptedChange,
    ChangeCommand,
    ChangeOutcome,
    ConfigUpdate,
    FleetConfig,
    StateTime, //
};

/// Accepted changes kept for followers that missed them.
pub const MAX_KEPT_CHANGES: usize = 1024;

/// Outcomes kept for changes that are sent again; at 1,600 changes a day this covers two and a half
/// days.
pub const MAX_KEPT_OUTCOMES: usize = 4096;

/// Longest identifier of a change, in bytes.
const MAX_CHANGE_ID_BYTES: usize = 64;

/// The current configuration with the history of its changes.
///
/// An accepted change that is sent again after its outcome was dropped is refused as a conflict,
/// because its base is an old revision by then. This outcome tells the operator less than the first
/// one, but the change never takes effect twice.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ChangeLog {
    config: FleetConfig,
    /// Invariant: revisions are contiguous and end at the configuration's revision.
    history: VecDeque<KeptChange>,
    outcomes: BTreeMap<String, KeptOutcome>,
    /// Identifiers in `outcomes`, oldest first.
    order: VecDeque<String>,
    config_bytes: usize,
    digest: u64,
}

#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
struct KeptChange {
    change: AcceptedChange,
    bytes: u32,
}

#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub(crate) struct KeptOutcome {
    digest: [u8; 16],
    base_revision: u64,
    /// Invariant: a conflict is kept without the winning change, which is in the history, so that
    /// many refused changes do not keep many copies of a large one.
    outcome: ChangeOutcome,
}

/// A change log as encoded in a snapshot.
#[derive(Serialize, Deserialize)]
pub(crate) struct ChangeLogWire {
    config: FleetConfig,
    history: Vec<AcceptedChange>,
    outcomes: Vec<(String, KeptOutcome)>,
}

impl Default for ChangeLog {
    fn default() -> Self {
        let mut log = Self {
            config: FleetConfig::default(),
            history: VecDeque::new(),
            outcomes: BTreeMap::new(),
            order: VecDeque::new(),
            config_bytes: 0,
            digest: 0,
        };
        log.set_config(FleetConfig::default());
        log
    }
}

impl ChangeLog {
    /// The current configuration.
    pub fn config(&self) -> &FleetConfig {
        &self.config
    }

    /// The accepted changes that are still kept, oldest first.
    pub fn history(&self) -> impl DoubleEndedIterator<Item = &AcceptedChange> {
        self.history.iter().map(|kept| &kept.change)
    }

    /// The outcome of the change with this identifier, while it is kept.
    pub fn outcome_of(&self, change_id: &str) -> Option<ChangeOutcome> {
        let kept = self.outcomes.get(change_id)?;
        Some(self.with_winner(kept))
    }

    /// The base revision of the change with this identifier, while it is kept.
    pub fn base_revision_of(&self, change_id: &str) -> Option<u64> {
        let kept = self.outcomes.get(change_id)?;
        Some(kept.base_revision)
    }

    fn with_winner(&self, kept: &KeptOutcome) -> ChangeOutcome {
        match kept.outcome {
            ChangeOutcome::Conflict { revision, .. } => ChangeOutcome::Conflict {
                revision,
                winner: self
                    .change_at(kept.base_revision + 1)
                    .cloned()
                    .map(Box::new),
            },
            _ => kept.outcome.clone(),
        }
    }

    /// Accepts or refuses a change. Returns the first outcome if the change was already decided on.
    pub(crate) fn apply(&mut self, command: ChangeCommand, now: StateTime) -> ChangeOutcome {
        if command.change_id.is_empty() || command.change_id.len() > MAX_CHANGE_ID_BYTES {
            return ChangeOutcome::BadId;
        }
        let digest = command.digest();
        if let Some(kept) = self.outcomes.get(&command.change_id) {
            return if kept.digest == digest {
                self.with_winner(kept)
            } else {
                ChangeOutcome::IdReused
            };
        }
        let change_id = command.change_id.clone();
        let base_revision = command.base_revision;
        let kept = KeptOutcome {
            digest,
            base_revision,
            outcome: self.decide(command, now),
        };
        let outcome = self.with_winner(&kept);
        self.record_outcome(change_id, kept);
        outcome
    }

    fn decide(&mut self, command: ChangeCommand, now: StateTime) -> ChangeOutcome {
        let revision = self.config.revision;
        if command.base_revision > revision {
            return ChangeOutcome::Ahead { revision };
        }
        if command.base_revision < revision {
            return ChangeOutcome::Conflict {
                revision,
                winner: None,
            };
        }
        match self.config.with_edits(&command.edits) {
            Ok(config) => self.accept(config, command, now),
            Err(faults) => ChangeOutcome::Invalid { faults },
        }
    }

    fn accept(
        &mut self,
        config: FleetConfig,
        command: ChangeCommand,
        now: StateTime,
    ) -> ChangeOutcome {
        let revision = config.revision;
        self.history.push_back(KeptChange::new(AcceptedChange {
            revision,
            change_id: command.change_id,
            operator: command.operator,
            accepted_at: now,
            edits: command.edits,
        }));
        if self.history.len() > MAX_KEPT_CHANGES {
            self.history.pop_front();
        }
        self.set_config(config);
        ChangeOutcome::Accepted { revision }
    }

    fn set_config(&mut self, config: FleetConfig) {
        self.config_bytes = encoded_len(&config);
        self.digest = config.digest();
        self.config = config;
    }

    fn record_outcome(&mut self, change_id: String, kept: KeptOutcome) {
        self.outcomes.insert(change_id.clone(), kept);
        self.order.push_back(change_id);
        if self.order.len() > MAX_KEPT_OUTCOMES
            && let Some(oldest) = self.order.pop_front()
        {
            self.outcomes.remove(&oldest);
        }
    }

    fn change_at(&self, revision: u64) -> Option<&AcceptedChange> {
        let first = self.history.front()?.change.revision;
        let index = usize::try_from(revision.checked_sub(first)?).ok()?;
        self.history.get(index).map(|kept| &kept.change)
    }

    /// Returns the update that brings a follower from `revision` to the current one: the changes it
    /// missed, or the whole configuration if they are no longer kept or would be larger.
    pub fn config_since(&self, revision: u64) -> ConfigUpdate {
        let missed = self.config.revision.saturating_sub(revision);
        let known = revision <= self.config.revision && missed <= self.history.len() as u64;
        if known {
            let skipped = self.history.len() - missed as usize;
            let kept = self.history.iter().skip(skipped);
            let bytes: usize = kept.clone().map(|kept| kept.bytes as usize).sum();
            if bytes <= self.config_bytes || missed <= 1 {
                return ConfigUpdate::Delta {
                    changes: kept.map(|kept| kept.change.clone()).collect(),
                    digest: self.digest,
                };
            }
        }
        ConfigUpdate::Snapshot(Box::new(self.config.clone()))
    }

    pub(crate) fn to_wire(&self) -> ChangeLogWire {
        let outcome = |id: &String| Some((id.clone(), self.outcomes.get(id)?.clone()));
        ChangeLogWire {
            config: self.config.clone(),
            history: self.history().cloned().collect(),
            outcomes: self.order.iter().filter_map(outcome).collect(),
        }
    }
}

impl From<ChangeLogWire> for ChangeLog {
    fn from(wire: ChangeLogWire) -> Self {
        let mut log = Self {
            history: wire.history.into_iter().map(KeptChange::new).collect(),
            order: wire.outcomes.iter().map(|(id, _)| id.clone()).collect(),
            outcomes: wire.outcomes.into_iter().collect(),
            ..Self::default()
        };
        log.set_config(wire.config);
        log
    }
}

impl KeptChange {
    fn new(change: AcceptedChange) -> Self {
        let bytes = encoded_len(&change) as u32;
        Self { change, bytes }
    }
}

fn encoded_len<T: Serialize>(value: &T) -> usize {
    postcard::experimental::serialized_size(value).unwrap_or(usize::MAX)
}
