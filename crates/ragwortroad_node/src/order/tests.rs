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

/// Plans, carries the plan out at once where `loads` says so, and plans again.
struct PlanBench {
    state: FleetState,
    engines: Vec<EngineView>,
    refused: BTreeMap<OfferKey, u32>,
    room: usize,
    index: u64,
}

impl PlanBench {
    fn new(engines: usize, model: &str) -> Self {
        let engine = |number: usize| EngineView {
            name: format!("engine-{number}"),
            zone: format!("zone-{}", number % 3),
            capacity: 16,
            models: [offer(model, "v1")].into(),
            open: true,
            ..EngineView::default()
        };
        Self {
            state: FleetState::default(),
            engines: (0..engines).map(engine).collect(),
            refused: BTreeMap::new(),
            room: 2,
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
            room: self.room,
            loads_at_once: 4,
        });
        let targets = plan.changes.clone();
        let fence = self.state.lease().fence();
        self.apply(StateAction::Plan { fence, targets });
        plan
    }

    /// Engines become what the plan says.
    fn carry_out(&mut self) {
        for engine in &mut self.engines {
            if let Some(target) = self.state.plan().target(&engine.name) {
                engine.models = target.models.clone();
            }
        }
    }

    /// Plans and carries out until nothing changes; the fewest engines that held one of `offers`.
    fn settle(&mut self, offers: &[ModelOffer]) -> usize {
        let mut least = usize::MAX;
        for _ in 0..50 {
            let planned = !self.plan().changes.is_empty();
            let before = self.engines.clone();
            self.carry_out();
            let changed = planned || before != self.engines;
            let serving = self.engines.iter();
            let serving = serving.filter(|engine| offers.iter().any(|o| engine.models.contains(o)));
            least = least.min(serving.count());
            if !changed {
                return least;
            }
        }
        panic!("the plan does not come to rest");
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

/// Guards against models that are unloaded before anybody declared one.
#[test]
fn what_nobody_declared_is_left_alone() {
    let mut bench = PlanBench::new(6, "caption");
    assert!(bench.plan().changes.is_empty());
    bench.change(vec![add_model("tutor", 2, 6)]);
    bench.settle(&[]);
    assert_eq!(
        (bench.holders("tutor", "v1"), bench.holders("caption", "v1")),
        (2, 6)
    );
    // Declared and taken back: now it is the operators' word that it goes.
    let model = "tutor".to_owned();
    bench.change(vec![ConfigEdit::RemoveModel { model }]);
    bench.settle(&[]);
    assert_eq!(
        (bench.holders("tutor", "v1"), bench.holders("caption", "v1")),
        (0, 6)
    );
}

/// Guards against refusals while a rollout is taken back.
#[test]
fn a_rollout_and_its_way_back_keep_the_model_served() {
    for room in [1, 2] {
        let mut bench = PlanBench::new(6, "caption");
        bench.room = room;
        bench.change(vec![add_model("caption", 6, 6)]);
        assert!(bench.settle(&[]) == 0 && bench.holders("caption", "v1") == 6);
        let both = [offer("caption", "v1"), offer("caption", "v2")];
        bench.change(vec![ConfigEdit::RollModel {
            model: "caption".to_owned(),
            version: "v2".to_owned(),
            percent: 100,
        }]);
        // Nothing is loaded yet: this is what a way back would find.
        bench.plan();
        let old = bench.holders_planned("v1");
        assert!(
            old >= 2,
            "room {room}: only {old} engines keep the old version"
        );
        assert_eq!(bench.settle(&both), 6);
        assert_eq!(
            (
                bench.holders("caption", "v1"),
                bench.holders("caption", "v2")
            ),
            (0, 6)
        );
        let model = "caption".to_owned();
        bench.change(vec![ConfigEdit::RollBack { model }]);
        assert_eq!(bench.settle(&both), 6);
        assert_eq!(
            (
                bench.holders("caption", "v1"),
                bench.holders("caption", "v2")
            ),
            (6, 0)
        );
    }
}

impl PlanBench {
    fn holders_planned(&self, version: &str) -> usize {
        let wanted = offer("caption", version);
        let targets = self.state.plan().targets();
        targets
            .filter(|(_, target)| target.models.contains(&wanted))
            .count()
    }
}

/// Guards against a model without engines that waits for others to load.
#[test]
fn the_model_that_nobody_serves_is_the_most_urgent() {
    let mut bench = PlanBench::new(6, "caption");
    bench.engines[0].load = 16;
    bench.engines[0].models = [offer("note", "v1")].into();
    bench.change(vec![
        add_model("caption", 5, 6),
        add_model("note", 1, 2),
        add_model("tutor", 1, 1),
    ]);
    let plan = bench.plan();
    let of = |model: &str| {
        let loads = plan.changes.iter().filter(|(name, target)| {
            let engine = bench.engines.iter().find(|engine| engine.name == *name);
            let models = &engine.unwrap().models;
            let wanted = offer(model, "v1");
            target.as_ref().is_some_and(|t| t.models.contains(&wanted)) && !models.contains(&wanted)
        });
        let urgency = loads.map(|(name, _)| plan.urgencies[name]).max();
        urgency.unwrap_or_else(|| panic!("{model} is loaded nowhere"))
    };
    assert!(of("tutor") > of("note"));
}

/// Guards against refused callers that bring no engine up, or more than declared.
#[test]
fn refused_callers_bring_engines_up_to_what_is_declared() {
    let mut bench = PlanBench::new(6, "caption");
    bench.change(vec![add_model("caption", 4, 6), add_model("tutor", 1, 3)]);
    bench.settle(&[]);
    assert_eq!(bench.holders("tutor", "v1"), 1);
    let mut refused = RefusedDemand::default();
    let key = OfferKey::model("tutor", "v1", None);
    for _ in 0..500 {
        refused.note(key, RefusalCode::Overloaded);
        refused.note(key, RefusalCode::WrongKey);
    }
    RefusedDemand::add(&mut bench.refused, &refused.end_second());
    assert_eq!(bench.refused, BTreeMap::from([(key, 500)]));
    bench.settle(&[]);
    assert_eq!(bench.holders("tutor", "v1"), 3);
    let quiet = (0..20).map(|_| refused.end_second()).last();
    assert_eq!(quiet, Some(Vec::new()));
}
