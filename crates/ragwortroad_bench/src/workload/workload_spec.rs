use serde::{
    Deserialize,
    Serialize, //
};

/// The deployment that a workload models.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum WorkloadKind {
    /// Twelve engines, short shared prompt prefixes, and a few large customers.
    #[default]
    Ljosmynd,
    /// Twenty engines and long shared prompt prefixes (lesson plans).
    Splashmark,
    /// The proportions of the deployment expected in two years.
    Target,
}

impl WorkloadKind {
    /// Parses the name of a workload; returns `None` for an unknown name.
    pub fn from_name(name: &str) -> Option<Self> {
        match name {
            "ljosmynd" => Some(Self::Ljosmynd),
            "splashmark" => Some(Self::Splashmark),
            "target" => Some(Self::Target),
            _ => None,
        }
    }
}

/// The parameters of a workload. Nodes, zones, engines and customers are those of the modeled
/// deployment; with the others, which are assumptions, the engines are a little over half full and
/// their caches are too small for all chats.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WorkloadSpec {
    /// Number of nodes, each of which routes requests.
    pub nodes: usize,
    /// Number of failure domains.
    pub zones: usize,
    /// Number of engines.
    pub engines: usize,
    /// Number of models; the engines are divided among them in proportion to demand.
    pub models: usize,
    /// Number of customers; their demand falls as 1/rank^0.8.
    pub customers: usize,
    /// Requests per second of all customers combined.
    pub requests_per_s: f64,
    /// Number of shared prompt prefixes of each customer.
    pub prefixes_per_customer: usize,
    /// Length of a shared prompt prefix in blocks of 128 tokens.
    pub shared_prefix_blocks: u32,
    /// Blocks that one turn adds to a chat, including the answer.
    pub turn_blocks: u32,
    /// Mean number of turns of a chat.
    pub mean_turns: f64,
    /// Mean pause between the turns of a chat, in seconds.
    pub mean_pause_s: f64,
    /// Mean length of an answer in tokens.
    pub mean_answer_tokens: f64,
    /// Maximum number of requests that an engine runs concurrently.
    pub engine_capacity: u32,
    /// Capacity of an engine's cache in blocks.
    pub cache_blocks: usize,
    /// Interval between load digests, in milliseconds.
    pub digest_interval_ms: u64,
    /// Time that a digest takes to reach all nodes, in milliseconds.
    pub propagation_ms: u64,
    /// Capacity of a node's chat table.
    pub chat_entries: usize,
}

impl WorkloadSpec {
    /// Returns the parameters of the workload `kind`.
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
