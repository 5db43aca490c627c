use std::collections::BTreeMap;

use ragwortroad_types::EndpointId;

use crate::{
    EngineSnapshot,
    OfferDemand,
    OfferKey,
    PlacementInput,
    ZoneKey, //
};

/// Orders that bring the offers on engines closer to demand.
///
/// A pure function of the observed state: the lease holder recomputes it repeatedly, so that an
/// order that was lost or delayed is issued again.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PlacementPlan {
    /// Offers to load, the most needed first, at most `max_loads` of the input.
    pub loads: Vec<PlacementOrder>,
    /// Offers to unload, each to make room for one of `loads` or because it is no longer declared.
    pub unloads: Vec<PlacementOrder>,
}

/// An order to one engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct PlacementOrder {
    /// The engine that loads or unloads the offer.
    pub engine: EndpointId,
    /// The offer to load or unload.
    pub offer: OfferKey,
}

/// The utilization at which offers gain and lose engines.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PlacementSettings {
    /// Fraction of capacity in use above which an offer gets another engine.
    pub scale_up_utilization: f64,
    /// Fraction of capacity in use below which an offer releases an engine, computed without that
    /// engine. Invariant: below `scale_up_utilization`, or constant demand would move offers back
    /// and forth.
    pub scale_down_utilization: f64,
}

impl Default for PlacementSettings {
    fn default() -> Self {
        Self {
            scale_up_utilization: 0.7,
            scale_down_utilization: 0.45,
        }
    }
}

impl PlacementPlan {
    /// Computes the orders for `input`.
    pub fn compute(input: &PlacementInput, settings: &PlacementSettings) -> Self {
        let mut draft = PlacementDraft::new(input);
        draft.unload_undeclared();
        let mut demands: Vec<&OfferDemand> = input.demands.iter().collect();
        // The highest utilization first; equal ones stay in the order of the input.
        demands.sort_by(|left, right| {
            let (left, right) = (draft.utilization(left), draft.utilization(right));
            right.total_cmp(&left)
        });
        for demand in demands {
            while draft.plan.loads.len() < input.max_loads && draft.needs_engine(demand, settings) {
                if !draft.add_engine(demand, settings) {
                    break;
                }
            }
        }
        draft.plan
    }
}

/// The offers on engines after the orders so far.
struct PlacementDraft<'input> {
    input: &'input PlacementInput,
    offers: BTreeMap<EndpointId, Vec<OfferKey>>,
    plan: PlacementPlan,
}

impl<'input> PlacementDraft<'input> {
    fn new(input: &'input PlacementInput) -> Self {
        let offers = input
            .engines
            .iter()
            .map(|engine| (engine.id, engine.offers.clone()))
            .collect();
        Self {
            input,
            offers,
            plan: PlacementPlan::default(),
        }
    }

    /// Unloads the offers without any demand.
    fn unload_undeclared(&mut self) {
        for (engine, offers) in &mut self.offers {
            offers.retain(|offer| {
                let is_demanded = self.input.demands.iter().any(|demand| {
                    demand.offer == *offer && (demand.min_engines > 0 || demand.demand > 0.0)
                });
                if !is_demanded {
                    let (engine, offer) = (*engine, *offer);
                    self.plan.unloads.push(PlacementOrder { engine, offer });
                }
                is_demanded
            });
        }
    }

    fn holders(&self, offer: OfferKey) -> impl Iterator<Item = &'input EngineSnapshot> {
        self.input
            .engines
            .iter()
            .filter(move |engine| engine.takes_work && self.offers[&engine.id].contains(&offer))
    }

    /// Capacity that serves `offer`. An engine's capacity is split evenly among its offers.
    fn capacity(&self, offer: OfferKey) -> f64 {
        self.holders(offer)
            .map(|engine| f64::from(engine.capacity) / self.offers[&engine.id].len() as f64)
            .sum()
    }

    fn utilization(&self, demand: &OfferDemand) -> f64 {
        demand.demand / self.capacity(demand.offer).max(1e-3)
    }

    fn needs_engine(&self, demand: &OfferDemand, settings: &PlacementSettings) -> bool {
        let count = self.holders(demand.offer).count();
        let is_overloaded =
            demand.demand > 0.0 && self.utilization(demand) > settings.scale_up_utilization;
        count < demand.min_engines || (count < demand.max_engines && is_overloaded)
    }

    /// Whether `offer` keeps enough capacity without `engine`.
    fn can_release(
        &self,
        offer: OfferKey,
        engine: &EngineSnapshot,
        settings: &PlacementSettings,
    ) -> bool {
        let Some(demand) = self
            .input
            .demands
            .iter()
            .find(|demand| demand.offer == offer)
        else {
            return true;
        };
        let count = self.holders(offer).count();
        let share = f64::from(engine.capacity) / self.offers[&engine.id].len() as f64;
        let left = self.capacity(offer) - share;
        count > demand.min_engines.max(1) && demand.demand <= settings.scale_down_utilization * left
    }

    /// Places `demand` on one more engine: one with room for another offer if there is any,
    /// otherwise one whose present offer can release it. The failure domain with the fewest holders
    /// goes first.
    fn add_engine(&mut self, demand: &OfferDemand, settings: &PlacementSettings) -> bool {
        let mut zones: BTreeMap<ZoneKey, usize> = BTreeMap::new();
        for engine in self.holders(demand.offer) {
            *zones.entry(engine.zone).or_insert(0) += 1;
        }
        let mut best = None;
        for engine in self.input.engines.iter().filter(|engine| engine.takes_work) {
            let offers = &self.offers[&engine.id];
            if offers.contains(&demand.offer) || engine.max_offers == 0 {
                continue;
            }
            let replaced = if offers.len() < engine.max_offers {
                None
            } else {
                let releasable = offers
                    .iter()
                    .find(|offer| self.can_release(**offer, engine, settings));
                match releasable {
                    Some(offer) => Some(*offer),
                    None => continue,
                }
            };
            let in_zone = zones.get(&engine.zone).copied().unwrap_or(0);
            let rank = (replaced.is_some(), in_zone, offers.len(), engine.id);
            if best.is_none_or(|(least, _)| rank < least) {
                best = Some((rank, replaced));
            }
        }
        let Some(((_, _, _, engine), replaced)) = best else {
            return false;
        };
        self.place(engine, demand.offer, replaced);
        true
    }

    fn place(&mut self, engine: EndpointId, offer: OfferKey, replaced: Option<OfferKey>) {
        if let Some(offers) = self.offers.get_mut(&engine) {
            offers.retain(|held| Some(*held) != replaced);
            offers.push(offer);
        }
        if let Some(replaced_offer) = replaced {
            let offer = replaced_offer;
            self.plan.unloads.push(PlacementOrder { engine, offer });
        }
        self.plan.loads.push(PlacementOrder { engine, offer });
    }
}
