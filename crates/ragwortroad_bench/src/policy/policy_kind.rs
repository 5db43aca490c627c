use serde::{
    Deserialize,
    Serialize, //
};

/// A way of choosing an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PolicyKind {
    /// Knows every cache and load at every moment, and chooses the engine within the bound that
    /// holds most of the prompt.
    Planner,
    /// Each engine in turn, by each node for itself.
    RoundRobin,
    /// The engine with the least reported load.
    LeastReported,
    /// The less loaded, by reports, of two drawn at random.
    TwoChoices,
    /// The highest hash of chat and engine.
    Rendezvous,
    /// The highest hash among engines that seem below the bound, by reports and own sends.
    BoundedLoad,
    /// Ours: every engine has a home node that admits its work, with these ideas on top.
    Homes(FeatureSet),
}

/// What is added to plain admission by home nodes and rendezvous hashing.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct FeatureSet {
    /// Chats go back to where they were, by the caller's hint or the node's memory.
    pub hints: bool,
    /// Chats with a shared text stay together.
    pub plans: bool,
    /// New chats go to the less loaded of two.
    pub two_choices: bool,
    /// A chat waits a little for room where its context is, and any request for room at all.
    pub holds: bool,
}

impl FeatureSet {
    /// Home nodes and rendezvous hashing alone.
    pub const NONE: Self = Self {
        hints: false,
        plans: false,
        two_choices: false,
        holds: false,
    };
    /// Everything.
    pub const ALL: Self = Self {
        hints: true,
        plans: true,
        two_choices: true,
        holds: true,
    };
}

impl PolicyKind {
    /// The planner, the baselines, then ours with each idea added to those before it.
    pub fn comparison_series() -> Vec<Self> {
        vec![
            Self::Planner,
            Self::RoundRobin,
            Self::LeastReported,
            Self::TwoChoices,
            Self::Rendezvous,
            Self::BoundedLoad,
            Self::Homes(FeatureSet::NONE),
            Self::Homes(FeatureSet {
                hints: true,
                ..FeatureSet::NONE
            }),
            Self::Homes(FeatureSet {
                hints: true,
                plans: true,
                ..FeatureSet::NONE
            }),
            Self::Homes(FeatureSet {
                holds: false,
                ..FeatureSet::ALL
            }),
            Self::Homes(FeatureSet::ALL),
        ]
    }

    /// Its name in reports.
    pub fn name(&self) -> String {
        match self {
            Self::Planner => "planner".to_owned(),
            Self::RoundRobin => "round_robin".to_owned(),
            Self::LeastReported => "least_reported".to_owned(),
            Self::TwoChoices => "two_choices".to_owned(),
            Self::Rendezvous => "rendezvous".to_owned(),
            Self::BoundedLoad => "bounded_load".to_owned(),
            Self::Homes(ideas) => {
                let parts = [
                    (ideas.hints, "+hints"),
                    (ideas.plans, "+plans"),
                    (ideas.two_choices, "+two_choices"),
                    (ideas.holds, "+holds"),
                ];
                let names = parts.iter().filter(|(on, _)| *on).map(|(_, name)| *name);
                "homes".to_owned() + &names.collect::<String>()
            }
        }
    }
}
