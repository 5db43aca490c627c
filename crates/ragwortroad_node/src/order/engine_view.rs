use std::collections::BTreeSet;

use ragwortroad_membership::prelude::*;
use ragwortroad_state::prelude::*;
use ragwortroad_types::prelude::*;

/// An engine as seen by the leader when it plans.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct EngineView {
    /// The name under which the engine announces itself.
    pub(crate) name: String,
    /// Its failure domain.
    pub(crate) zone: String,
    /// Requests it can run at once.
    pub(crate) capacity: u32,
    /// Models that are loaded and ready.
    pub(crate) models: BTreeSet<ModelOffer>,
    /// Requests running and queued.
    pub(crate) load: u32,
    /// Whether it accepts new work.
    pub(crate) takes_work: bool,
    /// Whether an operator has drained it.
    pub(crate) drained: bool,
}

impl EngineView {
    /// Creates the view of an endpoint; `None` if it is not an engine or is gone.
    pub(crate) fn of(record: &EndpointRecord, config: &FleetConfig) -> Option<Self> {
        if record.kind != EndpointKind::Engine || record.presence == EndpointPresence::Gone {
            return None;
        }
        let drained = config.drains_endpoint(&record.name, &record.zone);
        Some(Self {
            name: record.name.clone(),
            zone: record.zone.clone(),
            capacity: record.capacity,
            models: record.models.iter().cloned().collect(),
            load: record.load.requests(record.capacity),
            takes_work: record.accepts_new_work() && !drained,
            drained,
        })
    }
}
