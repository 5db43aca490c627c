use std::collections::BTreeMap;

use ragwortroad_types::prelude::*;
use serde::{
    Deserialize,
    Serialize, //
};

use crate::{
    EngineTarget,
    LeaseTable, //
};

/// What each engine shall be, by the name under which it announces itself.
///
/// Part of the replicated state, so that a new holder goes on with the old one's plan instead of
/// moving models about.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct OrderPlan {
    targets: BTreeMap<String, EngineTarget>,
}

/// What became of a change of the plan.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum PlanOutcome {
    /// It is part of the plan.
    Taken,
    /// It came from a former holder.
    OldFence {
        /// The number now.
        fence: FencingToken,
    },
}

impl OrderPlan {
    /// The target of an engine.
    pub fn target(&self, engine: &str) -> Option<&EngineTarget> {
        self.targets.get(engine)
    }

    /// All targets by engine.
    pub fn targets(&self) -> impl Iterator<Item = (&str, &EngineTarget)> {
        self.targets
            .iter()
            .map(|(name, target)| (name.as_str(), target))
    }

    /// Takes new targets in; an engine without one is no longer planned for.
    pub(crate) fn set(
        &mut self,
        lease: &LeaseTable,
        fence: FencingToken,
        targets: Vec<(String, Option<EngineTarget>)>,
    ) -> PlanOutcome {
        if fence != lease.fence() {
            return PlanOutcome::OldFence {
                fence: lease.fence(),
            };
        }
        for (engine, target) in targets {
            match target {
                Some(target) => self.targets.insert(engine, target),
                None => self.targets.remove(&engine),
            };
        }
        PlanOutcome::Taken
    }
}
