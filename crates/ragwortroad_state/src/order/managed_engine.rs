use std::collections::BTreeSet;

use ragwortroad_types::prelude::*;

use crate::{
    EngineObservation,
    EngineRole,
    EngineTarget,
    OrderAction, //
};

/// An engine as the lease holder knows it.
#[derive(Clone, Debug, Default)]
pub(crate) struct ManagedEngine {
    pub(crate) target: EngineTarget,
    pub(crate) urgency: u32,
    pub(crate) observation: Option<EngineObservation>,
    /// The role and drain that the engine's current incarnation has confirmed.
    pub(crate) role: EngineRole,
    pub(crate) drain: bool,
    /// Whether another holder may have drained the engine, so that `drain` is unconfirmed. Cleared by
    /// the acknowledgement of an order of this holder.
    pub(crate) drain_unknown: bool,
}

impl ManagedEngine {
    /// Records a new observation of the engine.
    pub(crate) fn observe(&mut self, observation: EngineObservation) {
        let known = self.observation.as_ref();
        if known.is_none_or(|old| old.incarnation != observation.incarnation) {
            // A restarted engine has its default role again and is not drained.
            self.role = EngineRole::default();
            self.drain = false;
            self.drain_unknown = false;
        }
        self.observation = Some(observation);
    }

    /// Returns the actions that lead from the observed state to the target; none for an engine that
    /// was never observed.
    pub(crate) fn required_actions(&self) -> Vec<OrderAction> {
        let Some(observation) = &self.observation else {
            return Vec::new();
        };
        let wanted = model_parts(&self.target.models);
        let seen = model_parts(&observation.models);
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
            // An adapter is loaded only after its model.
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

/// Lists each model version by itself and with each of its adapters.
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
