use std::collections::BTreeMap;

use ragwortroad_routing::prelude::*;
use ragwortroad_state::prelude::*;
use ragwortroad_types::prelude::*;

use crate::order::{
    engine_view::EngineView,
    offer_history::OfferHistory,
    refused_demand::RefusedDemand,
    target_plan::{
        TargetInput,
        TargetPlan, //
    }, //
};

/// A fleet whose engines are planned for and can be set to match the plan.
struct PlanFixture {
    state: FleetState,
    engines: Vec<EngineView>,
    refused: BTreeMap<OfferKey, u32>,
    max_offers: usize,
    index: u64,
}

impl PlanFixture {
    fn new(engines: usize, model: &str) -> Self {
        let engine = |number: usize| EngineView {
            name: format!("engine-{number}"),
            zone: format!("zone-{}", number % 3),
            capacity: 16,
            models: [offer(model, "v1")].into(),
            takes_work: true,
            ..EngineView::default()
        };
        Self {
            state: FleetState::default(),
            engines: (0..engines).map(engine).collect(),
            refused: BTreeMap::new(),
            max_offers: 2,
            index: 0,
        }
    }

    fn apply(&mut self, action: StateAction) -> ApplyOutcome {
        self.index += 1;
        let stamp = CommandStamp::default();
        let bytes = StateCommand { stamp, action }.to_bytes();
        self.state.apply(self.index, &bytes).unwrap()
    }

    fn change(&mut self, edits: Vec<ConfigEdit>) {
        let base = self.state.config().revision;
        let change_id = format!("change-{base}");
        let applied = self.apply(StateAction::Change(ChangeCommand {
            change_id,
            base_revision: base,
            operator: "ops".to_owned(),
            edits,
        }));
        let is_accepted = matches!(
            applied,
            ApplyOutcome::Changed(ChangeOutcome::Accepted { .. })
        );
        assert!(is_accepted, "{applied:?}");
    }

    fn plan(&mut self) -> TargetPlan {
        let plan = TargetPlan::of(&TargetInput {
            config: self.state.config(),
            history: &OfferHistory::of(self.state.changes()),
            plan: self.state.plan(),
            engines: &self.engines,
            refused: &self.refused,
            max_offers: self.max_offers,
            loads_at_once: 4,
        });
        let targets = plan.changes.clone();
        let fence = self.state.lease().fence();
        self.apply(StateAction::Plan { fence, targets });
        plan
    }

    /// Sets the models of all engines to their targets.
    fn apply_plan(&mut self) {
        for engine in &mut self.engines {
            if let Some(target) = self.state.plan().target(&engine.name) {
                engine.models = target.models.clone();
            }
        }
    }

    /// Plans and applies until nothing changes; returns the minimum number of engines that held one
    /// of `offers`.
    fn run_until_stable(&mut self, offers: &[ModelOffer]) -> usize {
        let mut fewest = usize::MAX;
        for _ in 0..50 {
            let planned = !self.plan().changes.is_empty();
            let before = self.engines.clone();
            self.apply_plan();
            let changed = planned || before != self.engines;
            let serving = self.engines.iter();
            let serving = serving.filter(|engine| offers.iter().any(|o| engine.models.contains(o)));
            fewest = fewest.min(serving.count());
            if !changed {
                return fewest;
            }
        }
        panic!("the plan does not converge");
    }

    fn holders(&self, model: &str, version: &str) -> usize {
        let wanted = offer(model, version);
        let holds = |engine: &&EngineView| engine.models.contains(&wanted);
        self.engines.iter().filter(holds).count()
    }
}

fn offer(model: &str, version: &str) -> ModelOffer {
    ModelOffer {
        model: model.to_owned(),
        version: version.to_owned(),
        adapters: Vec::new(),
    }
}

fn add_model(model: &str, min: u32, max: u32) -> ConfigEdit {
    ConfigEdit::AddModel {
        model: model.to_owned(),
        version: "v1".to_owned(),
        replicas: ReplicaRange {
            min,
            max,
            wanted: min,
        },
        size_mb: 1000,
    }
}

/// A plan must not unload models that were never declared, even when a declared model is removed.
#[test]
fn undeclared_models_are_left_alone() {
    let mut fixture = PlanFixture::new(6, "caption");
    assert!(fixture.plan().changes.is_empty());
    fixture.change(vec![add_model("tutor", 2, 6)]);
    fixture.run_until_stable(&[]);
    assert_eq!(
        (
            fixture.holders("tutor", "v1"),
            fixture.holders("caption", "v1")
        ),
        (2, 6)
    );
    // Declared and then removed: the plan may unload it.
    let model = "tutor".to_owned();
    fixture.change(vec![ConfigEdit::RemoveModel { model }]);
    fixture.run_until_stable(&[]);
    assert_eq!(
        (
            fixture.holders("tutor", "v1"),
            fixture.holders("caption", "v1")
        ),
        (0, 6)
    );
}

/// A rollout and its rollback must not leave too few engines with a version of the model, which
/// would cause refusals.
#[test]
fn rollout_and_rollback_keep_the_model_served() {
    for max_offers in [1, 2] {
        let mut fixture = PlanFixture::new(6, "caption");
        fixture.max_offers = max_offers;
        fixture.change(vec![add_model("caption", 6, 6)]);
        assert!(fixture.run_until_stable(&[]) == 0 && fixture.holders("caption", "v1") == 6);
        let both = [offer("caption", "v1"), offer("caption", "v2")];
        fixture.change(vec![ConfigEdit::RollModel {
            model: "caption".to_owned(),
            version: "v2".to_owned(),
            percent: 100,
        }]);
        // Nothing is loaded yet: these are the engines that a rollback would find.
        fixture.plan();
        let old = fixture.planned_holders("v1");
        assert!(
            old >= 2,
            "max_offers {max_offers}: only {old} engines keep the old version"
        );
        assert_eq!(fixture.run_until_stable(&both), 6);
        assert_eq!(
            (
                fixture.holders("caption", "v1"),
                fixture.holders("caption", "v2")
            ),
            (0, 6)
        );
        let model = "caption".to_owned();
        fixture.change(vec![ConfigEdit::RollBack { model }]);
        assert_eq!(fixture.run_until_stable(&both), 6);
        assert_eq!(
            (
                fixture.holders("caption", "v1"),
                fixture.holders("caption", "v2")
            ),
            (6, 0)
        );
    }
}

impl PlanFixture {
    fn planned_holders(&self, version: &str) -> usize {
        let wanted = offer("caption", version);
        let targets = self.state.plan().targets();
        targets
            .filter(|(_, target)| target.models.contains(&wanted))
            .count()
    }
}

/// A model that no engine serves must not wait for the loads of other models.
#[test]
fn unserved_model_is_the_most_urgent() {
    let mut fixture = PlanFixture::new(6, "caption");
    fixture.engines[0].load = 16;
    fixture.engines[0].models = [offer("note", "v1")].into();
    fixture.change(vec![
        add_model("caption", 5, 6),
        add_model("note", 1, 2),
        add_model("tutor", 1, 1),
    ]);
    let plan = fixture.plan();
    let urgency_of = |model: &str| {
        let loads = plan.changes.iter().filter(|(name, target)| {
            let engine = fixture.engines.iter().find(|engine| engine.name == *name);
            let models = &engine.unwrap().models;
            let wanted = offer(model, "v1");
            target.as_ref().is_some_and(|t| t.models.contains(&wanted)) && !models.contains(&wanted)
        });
        let urgency = loads.map(|(name, _)| plan.urgencies[name]).max();
        urgency.unwrap_or_else(|| panic!("{model} is not loaded on any engine"))
    };
    assert!(urgency_of("tutor") > urgency_of("note"));
}

/// Refused requests must raise the number of engines, but not beyond the declared maximum.
#[test]
fn refused_requests_add_engines_up_to_the_declared_maximum() {
    let mut fixture = PlanFixture::new(6, "caption");
    fixture.change(vec![add_model("caption", 4, 6), add_model("tutor", 1, 3)]);
    fixture.run_until_stable(&[]);
    assert_eq!(fixture.holders("tutor", "v1"), 1);
    let mut refused = RefusedDemand::default();
    let key = OfferKey::model("tutor", "v1", None);
    for _ in 0..500 {
        refused.record(key, RefusalCode::Overloaded);
        refused.record(key, RefusalCode::WrongKey);
    }
    RefusedDemand::add_blob(&mut fixture.refused, &refused.end_second());
    assert_eq!(fixture.refused, BTreeMap::from([(key, 500)]));
    fixture.run_until_stable(&[]);
    assert_eq!(fixture.holders("tutor", "v1"), 3);
    let last_blob = (0..20).map(|_| refused.end_second()).last();
    assert_eq!(last_blob, Some(Vec::new()));
}
