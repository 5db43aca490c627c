use std::{
    net::{
        Ipv4Addr,
        SocketAddr, //
    },
    time::Duration, //
};

use ragwortroad_types::prelude::*;

/// Settings of a [`StandinEngine`](crate::StandinEngine).
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EngineSettings {
    /// Endpoint name in its announcements.
    pub name: String,
    /// Listen address; port 0 selects a free port.
    pub listen: SocketAddr,
    /// Failure domain of the engine.
    pub zone: String,
    /// Models that are loaded at the start.
    pub offers: Vec<ModelOffer>,
    /// Maximum batch size; further requests are queued.
    pub capacity: u32,
    /// `IP:port` of nodes to announce to; if empty, the engine doesn't announce itself.
    pub announce_to: Vec<String>,
    /// The fleet's join secret, sent with announcements.
    pub join_secret: String,
    /// Whether the engine refuses orders with outdated fencing tokens, and announces that it does.
    pub checks_fencing: bool,
    /// Version of the software that it announces; `None` to announce none.
    pub build: Option<String>,
    /// Incarnation of the engine; must increase with every restart.
    pub incarnation: u64,
    /// Time to process one prompt token that is not in the prefix cache.
    pub prefill_time_per_token: Duration,
    /// Base time between tokens; grows with the batch by up to `batch_slowdown_percent`.
    pub token_gap: Duration,
    /// Growth of `token_gap` in percent from an empty to a full batch.
    pub batch_slowdown_percent: u32,
    /// Capacity of the prefix cache in blocks.
    pub cache_blocks: usize,
    /// Minimum age of the load in announcements, once there are samples that old.
    pub load_report_delay: Duration,
    /// Every n-th cache event is dropped; 0 drops none.
    pub event_loss_interval: u64,
    /// Time to load a model or adapter.
    pub model_load_time: Duration,
    /// Worker threads for requests.
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
            build: Some("build-1".to_owned()),
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
