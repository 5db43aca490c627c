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

/// What is declared and observed, for [`TargetPlan::of`].
pub(crate) struct TargetInput<'a> {
    /// What operators declared.
    pub(crate) config: &'a FleetConfig,
    /// What they took back.
    pub(crate) history: &'a OfferHistory,
    /// The plan so far.
    pub(crate) plan: &'a OrderPlan,
    /// The engines that are there.
    pub(crate) engines: &'a [EngineView],
    /// Requests a second that found no room, by what they asked for.
    pub(crate) refused: &'a BTreeMap<OfferKey, u32>,
    /// Models an engine has room for.
    pub(crate) room: usize,
    /// Loads that may be under way at once.
    pub(crate) loads_at_once: usize,
}

/// What engines shall be from now on.
///
/// An engine that holds nothing declared, is not drained and gets nothing to load is not planned
/// for; nor are models on planned engines that nobody ever declared. The fleet unloads only what
/// operators once declared and took back, or a version that others have replaced.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct TargetPlan {
    /// Targets that differ from the plan so far.
    pub(crate) changes: Vec<(String, Option<EngineTarget>)>,
    /// How urgently each engine's loads are needed, the highest first.
    pub(crate) urgencies: BTreeMap<String, u32>,
}

/// A model and one of its versions.
type VersionName = (String, String);

/// Loads of what no engine serves go before all others.
const MOST_URGENT: u32 = u32::MAX;

/// Engines whose place in the old version's service is given up before the new one is there.
const ROLL_STEP: usize = 1;

impl TargetPlan {
    /// The plan for `input`.
    pub(crate) fn of(input: &TargetInput<'_>) -> Self {
        let draft = TargetDraft::new(input);
        let wants = draft.wants();
        let placement = draft.place(&wants);
        Self {
            changes: draft.changes(&placement),
            urgencies: draft.urgencies(&wants, &placement),
        }
    }
}

/// What engines hold by the plan so far, with the keys of all versions.
struct TargetDraft<'a> {
    input: &'a TargetInput<'a>,
    /// What each engine holds or is to hold, in the order of `input.engines`.
    holds: Vec<BTreeSet<VersionName>>,
    names: BTreeMap<OfferKey, VersionName>,
}

impl<'a> TargetDraft<'a> {
    fn new(input: &'a TargetInput<'a>) -> Self {
        let holds: Vec<_> = input
            .engines
            .iter()
            .map(|engine| held(input, engine))
            .collect();
        let declared = input.config.models.iter().flat_map(|(model, entry)| {
            let versions = entry.versions.keys();
            versions.map(|version| (model.clone(), version.clone()))
        });
        let names = holds.iter().flatten().cloned().chain(declared);
        let names = names.map(|name| (key_of(&name), name)).collect();
        Self {
            input,
            holds,
            names,
        }
    }

    /// Every version that is held or declared, with how much it is wanted.
    fn wants(&self) -> Vec<OfferDemand> {
        let want = |(key, name): (&OfferKey, &VersionName)| {
            let holders = self.holders(name);
            let (least, most, demand) = match self.declared_share(name) {
                Some((least, most)) => (least, most, self.demand(name)),
                None if self.input.config.models.contains_key(&name.0) => {
                    let least = self.least_replaced(name).min(holders);
                    (least, least, 0.0)
                }
                None => (holders, holders, 0.0),
            };
            OfferDemand {
                offer: *key,
                demand,
                min_engines: least,
                max_engines: most,
            }
        };
        self.names.iter().map(want).collect()
    }

    /// The fewest and the most engines that a declared version shall have.
    fn declared_share(&self, (model, version): &VersionName) -> Option<(usize, usize)> {
        let entry = self.input.config.models.get(model)?;
        let share = *entry.versions.get(version)?;
        let part = |count: u32| ((count * share).div_ceil(100) as usize).max(1);
        Some((part(entry.replicas.wanted), part(entry.replicas.max)))
    }

    /// The fewest engines that keep a version which is no longer declared: as many as the declared
    /// ones still lack, but for one step, so that a rollout taken back halfway finds it in place.
    fn least_replaced(&self, (model, _): &VersionName) -> usize {
        let Some(entry) = self.input.config.models.get(model) else {
            return 0;
        };
        let open = self.input.engines.iter().filter(|engine| engine.open);
        let names = entry
            .versions
            .keys()
            .map(|version| (model.clone(), version.clone()));
        let names: Vec<VersionName> = names.collect();
        let needed = names.iter().filter_map(|name| self.declared_share(name));
        let needed = needed.map(|(least, _)| least).sum::<usize>();
        let needed = needed.min(open.clone().count());
        let ready = open.filter(|engine| names.iter().any(|name| is_seen(engine, name)));
        let lacking = needed.saturating_sub(ready.count());
        lacking.saturating_sub(ROLL_STEP)
    }

    /// Requests at work on a version and those that were refused. An engine's load counts in equal
    /// parts for all it serves, a refused request as one that works for a second.
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
        let pairs = self.input.engines.iter().zip(&self.holds);
        pairs
            .filter(|(engine, holds)| engine.open && holds.contains(name))
            .count()
    }

    /// Loads that are planned and not yet seen.
    fn under_way(&self) -> usize {
        let pairs = self.input.engines.iter().zip(&self.holds);
        pairs
            .map(|(engine, holds)| holds.iter().filter(|name| !is_seen(engine, name)).count())
            .sum()
    }

    fn place(&self, wants: &[OfferDemand]) -> PlacementPlan {
        let pairs = self.input.engines.iter().zip(&self.holds);
        let engines = pairs.map(|(engine, holds)| EngineSnapshot {
            id: EndpointId::from_name(&engine.name),
            zone: ZoneKey::from_name(&engine.zone),
            capacity: engine.capacity,
            max_offers: self.input.room,
            offers: holds.iter().map(key_of).collect(),
            takes_work: engine.open,
        });
        let input = PlacementInput {
            demands: wants.to_vec(),
            engines: engines.collect(),
            max_loads: self.input.loads_at_once.saturating_sub(self.under_way()),
        };
        PlacementPlan::compute(&input, &PlacementSettings::default())
    }

    /// Targets that differ from the plan so far.
    fn changes(&self, placement: &PlacementPlan) -> Vec<(String, Option<EngineTarget>)> {
        let pairs = self.input.engines.iter().zip(&self.holds);
        let targets = pairs.filter_map(|(engine, holds)| {
            let holds = self.after(engine, holds, placement);
            Some((engine.name.clone(), self.target(engine, &holds)?))
        });
        targets
            .filter(|(name, target)| self.input.plan.target(name) != Some(target))
            .map(|(name, target)| (name, Some(target)))
            .collect()
    }

    /// What an engine holds after the placement's orders.
    fn after(
        &self,
        engine: &EngineView,
        holds: &BTreeSet<VersionName>,
        placement: &PlacementPlan,
    ) -> BTreeSet<VersionName> {
        let id = EndpointId::from_name(&engine.name);
        let mut holds = holds.clone();
        for order in placement.unloads.iter().filter(|order| order.engine == id) {
            holds.retain(|name| key_of(name) != order.offer);
        }
        let loads = placement.loads.iter().filter(|order| order.engine == id);
        holds.extend(loads.filter_map(|order| self.names.get(&order.offer).cloned()));
        holds
    }

    /// The target of an engine that shall hold `holds`; none where nothing declared is about it.
    fn target(&self, engine: &EngineView, holds: &BTreeSet<VersionName>) -> Option<EngineTarget> {
        let former = self.input.plan.target(&engine.name);
        let models = &self.input.config.models;
        let concerns = holds.iter().any(|(model, _)| models.contains_key(model));
        if former.is_none() && !concerns && !engine.drained {
            return None;
        }
        Some(EngineTarget {
            models: holds.iter().map(|name| self.offer(engine, name)).collect(),
            role: former.map(|target| target.role).unwrap_or_default(),
            drain: engine.drained,
        })
    }

    /// A version with the adapters it shall have at an engine: those declared, and those there
    /// that nobody took back.
    fn offer(&self, engine: &EngineView, (model, version): &VersionName) -> ModelOffer {
        let seen = engine.models.iter();
        let seen = seen.filter(|offer| offer.model == *model && offer.version == *version);
        let seen = seen.flat_map(|offer| offer.adapters.iter().cloned());
        let gone = &self.input.history.adapters;
        let kept = seen.filter(|adapter| !gone.contains(&(model.clone(), adapter.clone())));
        let entry = self.input.config.models.get(model);
        let declared = entry.into_iter().flat_map(|entry| &entry.adapters).cloned();
        let adapters: BTreeSet<String> = kept.chain(declared).collect();
        ModelOffer {
            model: model.clone(),
            version: version.clone(),
            adapters: adapters.into_iter().collect(),
        }
    }

    /// How much each engine's loads are needed: what no engine serves first, then the fullest.
    fn urgencies(&self, wants: &[OfferDemand], placement: &PlacementPlan) -> BTreeMap<String, u32> {
        let need = |name: &VersionName| {
            let serving = self.input.engines.iter();
            let serving = serving.filter(|engine| engine.open && is_seen(engine, name));
            let capacity: f64 = serving.map(|engine| f64::from(engine.capacity)).sum();
            let want = wants.iter().find(|want| want.offer == key_of(name));
            match (capacity > 0.0, want) {
                (false, _) => MOST_URGENT,
                (true, Some(want)) => (1000.0 * want.demand / capacity) as u32,
                (true, None) => 0,
            }
        };
        let pairs = self.input.engines.iter().zip(&self.holds);
        let urgency = pairs.map(|(engine, holds)| {
            let holds = self.after(engine, holds, placement);
            let loads = holds.iter().filter(|name| !is_seen(engine, name));
            (engine.name.clone(), loads.map(need).max().unwrap_or(0))
        });
        urgency.collect()
    }
}

/// What an engine holds by the plan so far, or by its own word where there is none.
///
/// What is held and was never declared stays; what the plan holds and is no longer declared does
/// not.
fn held(input: &TargetInput<'_>, engine: &EngineView) -> BTreeSet<VersionName> {
    let models = &input.config.models;
    let is_ours = |offer: &&ModelOffer| models.contains_key(&offer.model);
    let is_foreign = |offer: &&ModelOffer| {
        !models.contains_key(&offer.model) && !input.history.models.contains(&offer.model)
    };
    let foreign = engine.models.iter().filter(is_foreign);
    let planned = input.plan.target(&engine.name);
    let ours = planned.map_or(&engine.models, |target| &target.models);
    let ours = ours.iter().filter(is_ours);
    ours.chain(foreign)
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
