use std::collections::BTreeSet;

use ragwortroad_membership::prelude::*;
use ragwortroad_state::prelude::*;
use ragwortroad_types::prelude::*;

/// One engine as the leader sees it when it plans.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct EngineView {
    /// The name under which it announces itself.
    pub(crate) name: String,
    /// Its failure domain.
    pub(crate) zone: String,
    /// Requests it works on at once.
    pub(crate) capacity: u32,
    /// Models it holds ready.
    pub(crate) models: BTreeSet<ModelOffer>,
    /// Requests at work and queued.
    pub(crate) load: u32,
    /// Whether it wants new work.
    pub(crate) takes_work: bool,
    /// Whether operators took it out of service.
    pub(crate) drained: bool,
}

impl EngineView {
    /// The engine in `record`; nothing where it is no engine or no longer there.
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
