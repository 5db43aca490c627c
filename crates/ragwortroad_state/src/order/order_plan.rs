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

/// The target of each engine, by the name under which it announces itself.
///
/// The plan is part of the replicated state, so that a new holder continues the old one's plan
/// instead of moving models.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct OrderPlan {
    targets: BTreeMap<String, EngineTarget>,
}

/// The outcome of an update of the plan.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum PlanOutcome {
    /// The update was applied.
    Taken,
    /// The update came from a former lease holder.
    OldFence {
        /// The current fencing token.
        fence: FencingToken,
    },
}

impl OrderPlan {
    /// Returns the target of an engine, or `None` if it is not in the plan.
    pub fn target(&self, engine: &str) -> Option<&EngineTarget> {
        self.targets.get(engine)
    }

    /// Iterates over the engine names and their targets.
    pub fn targets(&self) -> impl Iterator<Item = (&str, &EngineTarget)> {
        self.targets
            .iter()
            .map(|(name, target)| (name.as_str(), target))
    }

    /// Updates targets; `None` removes the engine from the plan.
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
