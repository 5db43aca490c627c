use std::collections::BTreeSet;

use ragwortroad_types::prelude::*;

use crate::{
    EngineObservation,
    EngineRole,
    EngineTarget,
    OrderAction, //
};

/// One engine as the holder knows it.
#[derive(Clone, Debug, Default)]
pub(crate) struct ManagedEngine {
    pub(crate) target: EngineTarget,
    pub(crate) urgency: u32,
    pub(crate) observation: Option<EngineObservation>,
    /// The role and drain that the present incarnation has confirmed.
    pub(crate) role: EngineRole,
    pub(crate) drain: bool,
    /// A former holder may have drained it; what is known here is no more than a guess until this
    /// holder's own order is answered.
    pub(crate) drain_unknown: bool,
}

impl ManagedEngine {
    /// Takes in what the engine was seen to be.
    pub(crate) fn observe(&mut self, sight: EngineObservation) {
        let known = self.observation.as_ref();
        if known.is_none_or(|old| old.incarnation != sight.incarnation) {
            // A restarted engine has its first role again and does not know that it drains.
            self.role = EngineRole::default();
            self.drain = false;
            self.drain_unknown = false;
        }
        self.observation = Some(sight);
    }

    /// The orders that lead from what is seen to the target; none for an engine never seen.
    pub(crate) fn required_actions(&self) -> Vec<OrderAction> {
        let Some(sight) = &self.observation else {
            return Vec::new();
        };
        let wanted = model_parts(&self.target.models);
        let seen = model_parts(&sight.models);
        let mut actions = Vec::new();
        if self.role != self.target.role {
            let role = self.target.role;
            actions.push(OrderAction::SetRole { role });
        }
        if self.drain != self.target.drain || self.drain_unknown {
            let drain = self.target.drain;
            actions.push(OrderAction::SetDrain { drain });
        }
        for (model, version, adapter) in wanted.difference(&seen).cloned() {
            // An adapter is loaded when its model is there.
            let base = (model.clone(), version.clone(), None);
            if adapter.is_none() || seen.contains(&base) {
                actions.push(OrderAction::Load {
                    model,
                    version,
                    adapter,
                });
            }
        }
        for (model, version, adapter) in seen.difference(&wanted).cloned() {
            actions.push(OrderAction::Unload {
                model,
                version,
                adapter,
            });
        }
        actions
    }
}

type ModelPart = (String, String, Option<String>);

/// Each model with its version, alone and with each of its adapters.
fn model_parts(models: &BTreeSet<ModelOffer>) -> BTreeSet<ModelPart> {
    let mut parts = BTreeSet::new();
    for offer in models {
        let base = (offer.model.clone(), offer.version.clone());
        parts.insert((base.0.clone(), base.1.clone(), None));
        for adapter in &offer.adapters {
            parts.insert((base.0.clone(), base.1.clone(), Some(adapter.clone())));
        }
    }
    parts
}
