use serde::{
    Deserialize,
    Serialize, //
};

/// Which deployment is imitated.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum WorkloadKind {
    /// A dozen engines, short shared briefs, a few large customers.
    #[default]
    Ljosmynd,
    /// Twenty engines, long shared lesson plans.
    Splashmark,
    /// The ratios of the two-year target.
    Target,
}

impl WorkloadKind {
    /// The workload called `name`.
    pub fn from_name(name: &str) -> Option<Self> {
        match name {
            "ljosmynd" => Some(Self::Ljosmynd),
            "splashmark" => Some(Self::Splashmark),
            "target" => Some(Self::Target),
            _ => None,
        }
    }
}

/// The sizes of one workload. The brief gives nodes, zones, engines and customers; the rest are
/// assumptions, chosen so that the engines are a little over half full and their caches too small
/// for every chat.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WorkloadSpec {
    /// Nodes that route.
    pub nodes: usize,
    /// Failure domains.
    pub zones: usize,
    /// Engines.
    pub engines: usize,
    /// Models, each served by a share of the engines that follows its demand.
    pub models: usize,
    /// Customers, their sizes falling as 1/rank.
    pub customers: usize,
    /// Requests a second of all customers together.
    pub requests_per_s: f64,
    /// Shared texts of each customer.
    pub prefixes_per_customer: usize,
    /// Blocks of a shared text; a block is 128 tokens.
    pub shared_prefix_blocks: u32,
    /// Blocks that one turn adds to a chat, its answer included.
    pub turn_blocks: u32,
    /// Turns of a chat, on average.
    pub mean_turns: f64,
    /// Seconds between the turns of a chat, on average.
    pub mean_pause_s: f64,
    /// Tokens of an answer, on average.
    pub mean_answer_tokens: f64,
    /// Requests an engine works on at once.
    pub engine_capacity: u32,
    /// Blocks an engine's cache holds.
    pub cache_blocks: usize,
    /// Milliseconds between a change and the last digest that tells of it.
    pub digest_interval_ms: u64,
    /// Milliseconds a digest is on its way.
    pub propagation_ms: u64,
    /// Chats a node remembers.
    pub chat_entries: usize,
}

impl WorkloadSpec {
    /// The sizes of `kind`.
    pub fn for_kind(kind: WorkloadKind) -> Self {
        match kind {
            WorkloadKind::Ljosmynd => Self {
                nodes: 9,
                zones: 3,
                engines: 12,
                models: 1,
                customers: 10,
                requests_per_s: 34.0,
                prefixes_per_customer: 4,
                shared_prefix_blocks: 10,
                turn_blocks: 2,
                mean_turns: 6.0,
                mean_pause_s: 30.0,
                mean_answer_tokens: 80.0,
                engine_capacity: 16,
                cache_blocks: 1_600,
                digest_interval_ms: 500,
                propagation_ms: 10,
                chat_entries: 16 * 1024,
            },
            WorkloadKind::Splashmark => Self {
                engines: 20,
                requests_per_s: 48.0,
                prefixes_per_customer: 3,
                shared_prefix_blocks: 40,
                mean_answer_tokens: 90.0,
                cache_blocks: 2_000,
                ..Self::for_kind(WorkloadKind::Ljosmynd)
            },
            WorkloadKind::Target => Self {
                nodes: 340,
                zones: 11,
                engines: 750,
                models: 16,
                customers: 2_900,
                requests_per_s: 3_300.0,
                prefixes_per_customer: 2,
                shared_prefix_blocks: 24,
                mean_turns: 4.0,
                mean_pause_s: 40.0,
                mean_answer_tokens: 364.0,
                engine_capacity: 160,
                cache_blocks: 12_000,
                digest_interval_ms: 1_000,
                propagation_ms: 1_000,
                chat_entries: 4 * 1024,
                ..Self::for_kind(WorkloadKind::Ljosmynd)
            },
        }
    }
}
