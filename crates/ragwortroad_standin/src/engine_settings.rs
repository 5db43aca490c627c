use std::{
    net::{
        Ipv4Addr,
        SocketAddr, //
    },
    time::Duration, //
};

use ragwortroad_types::prelude::*;

/// What a [`StandinEngine`](crate::StandinEngine) is and how fast it works.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EngineSettings {
    /// The name it announces itself by.
    pub name: String,
    /// Where it listens; port 0 takes a free one.
    pub listen: SocketAddr,
    /// Its failure domain.
    pub zone: String,
    /// Models it holds from the start.
    pub offers: Vec<ModelOffer>,
    /// Requests it works on at once; more wait.
    pub capacity: u32,
    /// `IP:port` of nodes to announce to; none means that it does not announce itself.
    pub announce_to: Vec<String>,
    /// The join secret.
    pub join_secret: String,
    /// Whether it says, and sees to it, that it checks fencing numbers.
    pub checks_fencing: bool,
    /// Counts up with every restart.
    pub incarnation: u64,
    /// Time to read one prompt token that is not in the cache.
    pub prefill_time_per_token: Duration,
    /// Time between tokens when it has one request to work on.
    pub token_gap: Duration,
    /// By how many percent the gap grows from one request to a full batch.
    pub batch_slowdown_percent: u32,
    /// Blocks its prefix cache holds.
    pub cache_blocks: usize,
    /// Age of the load it reports.
    pub load_report_delay: Duration,
    /// One of so many cache events is lost; 0 loses none.
    pub event_loss_interval: u64,
    /// Time to load a model.
    pub model_load_time: Duration,
    /// Threads for requests.
    pub threads: usize,
}

impl Default for EngineSettings {
    fn default() -> Self {
        let offer = ModelOffer {
            model: "caption".to_owned(),
            version: "v1".to_owned(),
            adapters: Vec::new(),
        };
        Self {
            name: "engine-1".to_owned(),
            listen: SocketAddr::from((Ipv4Addr::LOCALHOST, 0)),
            zone: "zone-1".to_owned(),
            offers: vec![offer],
            capacity: 16,
            announce_to: Vec::new(),
            join_secret: "join".to_owned(),
            checks_fencing: true,
            incarnation: 1,
            prefill_time_per_token: Duration::from_micros(20),
            token_gap: Duration::from_millis(2),
            batch_slowdown_percent: 50,
            cache_blocks: 4096,
            load_report_delay: Duration::from_millis(100),
            event_loss_interval: 50,
            model_load_time: Duration::from_millis(200),
            threads: 1,
        }
    }
}
