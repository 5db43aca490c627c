use serde::{
    Deserialize,
    Serialize, //
};

/// A routing policy: how a node chooses the engine for a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PolicyKind {
    /// An oracle that knows every cache and load at every moment; chooses the engine within the
    /// load bound whose cache holds the longest prefix of the prompt.
    Planner,
    /// Round robin over the engines, on each node separately.
    RoundRobin,
    /// The engine with the lowest reported load.
    LeastReported,
    /// The one with the lower reported load of two engines drawn at random.
    TwoChoices,
    /// Rendezvous hashing: the engine with the highest hash of chat and engine.
    Rendezvous,
    /// Rendezvous hashing among the engines below the load bound, by reports and the node's own
    /// requests.
    BoundedLoad,
    /// The project's policy: every engine has a home node that admits its requests, with the given
    /// features enabled.
    Homes(FeatureSet),
}

/// Optional features of the policy with home nodes; without them it combines admission by home
/// nodes with rendezvous hashing.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct FeatureSet {
    /// Chats return to their previous engine, by the client's hint or the node's chat table.
    pub hints: bool,
    /// Chats with a shared prompt prefix are routed to the same engines.
    pub plans: bool,
    /// New chats go to the less loaded of two engines.
    pub two_choices: bool,
    /// A request of a chat waits briefly for capacity on the engine that caches its context, and
    /// every request for capacity on any engine.
    pub holds: bool,
}

impl FeatureSet {
    /// No features: home nodes and rendezvous hashing only.
    pub const NONE: Self = Self {
        hints: false,
        plans: false,
        two_choices: false,
        holds: false,
    };
    /// All features.
    pub const ALL: Self = Self {
        hints: true,
        plans: true,
        two_choices: true,
        holds: true,
    };
}

impl PolicyKind {
    /// Returns the planner, the baselines, and the policy with home nodes with one more feature at
    /// each step.
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

    /// Returns the policy's name in reports, such as `homes+hints`.
    pub fn name(&self) -> String {
        match self {
            Self::Planner => "planner".to_owned(),
            Self::RoundRobin => "round_robin".to_owned(),
            Self::LeastReported => "least_reported".to_owned(),
            Self::TwoChoices => "two_choices".to_owned(),
            Self::Rendezvous => "rendezvous".to_owned(),
            Self::BoundedLoad => "bounded_load".to_owned(),
            Self::Homes(features) => {
                let suffixes = [
                    (features.hints, "+hints"),
                    (features.plans, "+plans"),
                    (features.two_choices, "+two_choices"),
                    (features.holds, "+holds"),
                ];
                let names = suffixes.iter().filter(|(on, _)| *on).map(|(_, name)| *name);
                "homes".to_owned() + &names.collect::<String>()
            }
        }
    }
}
