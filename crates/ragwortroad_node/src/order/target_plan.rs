use std::collections::{
    BTreeMap,
    BTreeSet, //
};

use ragwortroad_routing::prelude::*;
use ragwortroad_state::prelude::*;
use ragwortroad_types::prelude::*;

use crate::order::{
    engine_view::EngineView,
    offer_history::OfferHistory, //
};

/// The declared and observed state from which [`TargetPlan::of`] plans.
pub(crate) struct TargetInput<'a> {
    /// What operators declared.
    pub(crate) config: &'a FleetConfig,
    /// What operators declared earlier and then removed.
    pub(crate) history: &'a OfferHistory,
    /// The current plan.
    pub(crate) plan: &'a OrderPlan,
    /// The engines that are present.
    pub(crate) engines: &'a [EngineView],
    /// Requests refused for lack of capacity in one second, by offer.
    pub(crate) refused: &'a BTreeMap<OfferKey, u32>,
    /// Maximum number of models on an engine.
    pub(crate) max_offers: usize,
    /// Maximum number of loads in flight.
    pub(crate) loads_at_once: usize,
}

/// The planned targets of engines.
///
/// An engine is not planned for if it holds no declared model, is not drained and has nothing to
/// load. On planned engines, models that were never declared are left alone. The fleet unloads only
/// what operators declared and then removed, or a version that another one has replaced.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct TargetPlan {
    /// Targets that differ from the current plan; `None` removes a target.
    pub(crate) changes: Vec<(String, Option<EngineTarget>)>,
    /// Urgency of each engine's loads; the highest is loaded first.
    pub(crate) urgencies: BTreeMap<String, u32>,
}

/// A model and one of its versions.
type VersionName = (String, String);

/// Loads of versions that no engine serves go before all others.
const MAX_URGENCY: u32 = u32::MAX;

/// Engines that a rollout may take from the replaced version before the new one is ready.
const ROLLOUT_STEP_ENGINES: usize = 1;

impl TargetPlan {
    /// Plans for `input`.
    pub(crate) fn of(input: &TargetInput<'_>) -> Self {
        let draft = TargetDraft::new(input);
        let demands = draft.demands();
        let placement = draft.placement(&demands);
        Self {
            changes: draft.changes(&placement),
            urgencies: draft.urgencies(&demands, &placement),
        }
    }
}

/// The versions held under the current plan, and the offer keys of all versions.
struct TargetDraft<'a> {
    input: &'a TargetInput<'a>,
    /// What each engine holds or is to hold, in the order of `input.engines`.
    held: Vec<BTreeSet<VersionName>>,
    names: BTreeMap<OfferKey, VersionName>,
}

impl<'a> TargetDraft<'a> {
    fn new(input: &'a TargetInput<'a>) -> Self {
        let held: Vec<_> = input
            .engines
            .iter()
            .map(|engine| held_versions(input, engine))
            .collect();
        let declared = input.config.models.iter().flat_map(|(model, entry)| {
            let versions = entry.versions.keys();
            versions.map(|version| (model.clone(), version.clone()))
        });
        let names = held.iter().flatten().cloned().chain(declared);
        let names = names.map(|name| (key_of(&name), name)).collect();
        Self { input, held, names }
    }

    /// Returns the demand for every version that is held or declared.
    fn demands(&self) -> Vec<OfferDemand> {
        let to_demand = |(key, name): (&OfferKey, &VersionName)| {
            let holders = self.holders(name);
            let (min, max, demand) = match self.declared_range(name) {
                Some((min, max)) => (min, max, self.demand(name)),
                None if self.input.config.models.contains_key(&name.0) => {
                    let min = self.min_replaced_engines(name).min(holders);
                    (min, min, 0.0)
                }
                None => (holders, holders, 0.0),
            };
            OfferDemand {
                offer: *key,
                demand,
                min_engines: min,
                max_engines: max,
            }
        };
        self.names.iter().map(to_demand).collect()
    }

    /// Returns the minimum and maximum number of engines for a declared version.
    fn declared_range(&self, (model, version): &VersionName) -> Option<(usize, usize)> {
        let entry = self.input.config.models.get(model)?;
        let share = *entry.versions.get(version)?;
        let engines_for = |count: u32| ((count * share).div_ceil(100) as usize).max(1);
        Some((
            engines_for(entry.replicas.wanted),
            engines_for(entry.replicas.max),
        ))
    }

    /// Returns the minimum number of engines that keep a version which is no longer declared: as
    /// many as the declared versions still lack, less one step. A rollout that is rolled back
    /// halfway thus still finds the version in place.
    fn min_replaced_engines(&self, (model, _): &VersionName) -> usize {
        let Some(entry) = self.input.config.models.get(model) else {
            return 0;
        };
        let available = self.input.engines.iter().filter(|engine| engine.takes_work);
        let names = entry
            .versions
            .keys()
            .map(|version| (model.clone(), version.clone()));
        let names: Vec<VersionName> = names.collect();
        let needed = names.iter().filter_map(|name| self.declared_range(name));
        let needed = needed.map(|(min, _)| min).sum::<usize>();
        let needed = needed.min(available.clone().count());
        let ready = available.filter(|engine| names.iter().any(|name| is_seen(engine, name)));
        let missing_engines = needed.saturating_sub(ready.count());
        missing_engines.saturating_sub(ROLLOUT_STEP_ENGINES)
    }

    /// Returns the requests running for a version plus those refused. An engine's load counts in
    /// equal parts for everything it serves; a refused request counts as one that runs for a
    /// second.
    fn demand(&self, name: &VersionName) -> f64 {
        let serving = self.input.engines.iter();
        let serving = serving.filter(|engine| is_seen(engine, name));
        let loads =
            serving.map(|engine| f64::from(engine.load) / engine.models.len().max(1) as f64);
        loads.sum::<f64>() + f64::from(self.refused(name))
    }

    fn refused(&self, (model, version): &VersionName) -> u32 {
        let entry = self.input.config.models.get(model);
        let adapters = entry.into_iter().flat_map(|entry| &entry.adapters);
        let adapters = adapters.map(|adapter| Some(adapter.as_str()));
        let keys = adapters.chain([None]);
        let keys = keys.map(|adapter| OfferKey::model(model, version, adapter));
        keys.filter_map(|key| self.input.refused.get(&key)).sum()
    }

    fn holders(&self, name: &VersionName) -> usize {
        let pairs = self.input.engines.iter().zip(&self.held);
        pairs
            .filter(|(engine, versions)| engine.takes_work && versions.contains(name))
            .count()
    }

    /// Returns the number of loads that are planned but not yet observed.
    fn loads_in_flight(&self) -> usize {
        let pairs = self.input.engines.iter().zip(&self.held);
        pairs
            .map(|(engine, versions)| {
                versions
                    .iter()
                    .filter(|name| !is_seen(engine, name))
                    .count()
            })
            .sum()
    }

    fn placement(&self, demands: &[OfferDemand]) -> PlacementPlan {
        let pairs = self.input.engines.iter().zip(&self.held);
        let engines = pairs.map(|(engine, versions)| EngineSnapshot {
            id: EndpointId::from_name(&engine.name),
            zone: ZoneKey::from_name(&engine.zone),
            capacity: engine.capacity,
            max_offers: self.input.max_offers,
            offers: versions.iter().map(key_of).collect(),
            takes_work: engine.takes_work,
        });
        let input = PlacementInput {
            demands: demands.to_vec(),
            engines: engines.collect(),
            max_loads: self
                .input
                .loads_at_once
                .saturating_sub(self.loads_in_flight()),
        };
        PlacementPlan::compute(&input, &PlacementSettings::default())
    }

    /// Returns the targets that differ from the current plan.
    fn changes(&self, placement: &PlacementPlan) -> Vec<(String, Option<EngineTarget>)> {
        let pairs = self.input.engines.iter().zip(&self.held);
        let targets = pairs.filter_map(|(engine, versions)| {
            let versions = self.held_after(engine, versions, placement);
            Some((engine.name.clone(), self.target(engine, &versions)?))
        });
        targets
            .filter(|(name, target)| self.input.plan.target(name) != Some(target))
            .map(|(name, target)| (name, Some(target)))
            .collect()
    }

    /// Returns the versions that an engine holds after the placement's orders.
    fn held_after(
        &self,
        engine: &EngineView,
        versions: &BTreeSet<VersionName>,
        placement: &PlacementPlan,
    ) -> BTreeSet<VersionName> {
        let id = EndpointId::from_name(&engine.name);
        let mut versions = versions.clone();
        for order in placement.unloads.iter().filter(|order| order.engine == id) {
            versions.retain(|name| key_of(name) != order.offer);
        }
        let loads = placement.loads.iter().filter(|order| order.engine == id);
        versions.extend(loads.filter_map(|order| self.names.get(&order.offer).cloned()));
        versions
    }

    /// Returns the target of an engine that is to hold `versions`; `None` if nothing declared
    /// concerns it.
    fn target(
        &self,
        engine: &EngineView,
        versions: &BTreeSet<VersionName>,
    ) -> Option<EngineTarget> {
        let former = self.input.plan.target(&engine.name);
        let models = &self.input.config.models;
        let has_declared = versions.iter().any(|(model, _)| models.contains_key(model));
        if former.is_none() && !has_declared && !engine.drained {
            return None;
        }
        Some(EngineTarget {
            models: versions
                .iter()
                .map(|name| self.offer(engine, name))
                .collect(),
            role: former.map(|target| target.role).unwrap_or_default(),
            drain: engine.drained,
        })
    }

    /// Returns a version with the adapters it is to have on an engine: those declared, and those
    /// present that were never removed.
    fn offer(&self, engine: &EngineView, (model, version): &VersionName) -> ModelOffer {
        let seen = engine.models.iter();
        let seen = seen.filter(|offer| offer.model == *model && offer.version == *version);
        let seen = seen.flat_map(|offer| offer.adapters.iter().cloned());
        let gone = &self.input.history.adapters;
        let retained = seen.filter(|adapter| !gone.contains(&(model.clone(), adapter.clone())));
        let entry = self.input.config.models.get(model);
        let declared = entry.into_iter().flat_map(|entry| &entry.adapters).cloned();
        let adapters: BTreeSet<String> = retained.chain(declared).collect();
        ModelOffer {
            model: model.clone(),
            version: version.clone(),
            adapters: adapters.into_iter().collect(),
        }
    }

    /// Returns the urgency of each engine's loads: versions that no engine serves first, then those
    /// whose engines are fullest.
    fn urgencies(
        &self,
        demands: &[OfferDemand],
        placement: &PlacementPlan,
    ) -> BTreeMap<String, u32> {
        let urgency_of = |name: &VersionName| {
            let serving = self.input.engines.iter();
            let serving = serving.filter(|engine| engine.takes_work && is_seen(engine, name));
            let capacity: f64 = serving.map(|engine| f64::from(engine.capacity)).sum();
            let demand = demands.iter().find(|demand| demand.offer == key_of(name));
            match (capacity > 0.0, demand) {
                (false, _) => MAX_URGENCY,
                (true, Some(demand)) => (1000.0 * demand.demand / capacity) as u32,
                (true, None) => 0,
            }
        };
        let pairs = self.input.engines.iter().zip(&self.held);
        let urgency = pairs.map(|(engine, versions)| {
            let versions = self.held_after(engine, versions, placement);
            let loads = versions.iter().filter(|name| !is_seen(engine, name));
            (
                engine.name.clone(),
                loads.map(urgency_of).max().unwrap_or(0),
            )
        });
        urgency.collect()
    }
}

/// Returns the versions that an engine holds under the current plan, or as it reports if it has no
/// target.
///
/// Versions that are held but were never declared stay; planned versions that are no longer
/// declared don't.
fn held_versions(input: &TargetInput<'_>, engine: &EngineView) -> BTreeSet<VersionName> {
    let models = &input.config.models;
    let is_declared = |offer: &&ModelOffer| models.contains_key(&offer.model);
    let is_undeclared = |offer: &&ModelOffer| {
        !models.contains_key(&offer.model) && !input.history.models.contains(&offer.model)
    };
    let undeclared = engine.models.iter().filter(is_undeclared);
    let planned = input.plan.target(&engine.name);
    let declared = planned.map_or(&engine.models, |target| &target.models);
    let declared = declared.iter().filter(is_declared);
    declared
        .chain(undeclared)
        .map(|offer| (offer.model.clone(), offer.version.clone()))
        .collect()
}

fn is_seen(engine: &EngineView, (model, version): &VersionName) -> bool {
    let mut offers = engine.models.iter();
    offers.any(|offer| offer.model == *model && offer.version == *version)
}

fn key_of((model, version): &VersionName) -> OfferKey {
    OfferKey::model(model, version, None)
}
