use std::net::SocketAddr;

use bytes::Bytes;
use ragwortroad_dispatch::prelude::*;

/// What someone outside asks of a registry.
#[derive(Clone, Debug)]
pub enum ControlCall {
    /// An operator declares a configuration.
    PutConfig {
        /// Its version.
        version: u64,
        /// The document as it came.
        document: Bytes,
    },
    /// A configuration that cannot come into force.
    BadConfig(ConfigFault),
    /// An operator drains a failure domain, or takes that back.
    DrainDomain {
        /// The domain.
        domain: String,
        /// Whether its endpoints get no new work from now on.
        is_drained: bool,
    },
    /// An operator queued_reads the configuration in force.
    ReadConfig,
    /// An endpoint announces itself.
    Announce(Box<EndpointRecord>),
    /// An announcement that names no endpoint to use.
    BadAnnouncement {
        /// What is wrong with it.
        reason: String,
    },
    /// An endpoint says that it leaves for good.
    Goodbye {
        /// Its name.
        name: String,
    },
    /// A caller asks for addresses of edges.
    FindEdges,
    /// Nothing of these.
    Unknown,
}

/// What a registry answers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ControlReply {
    /// It is so.
    Done,
    /// The configuration in force.
    Config(Bytes),
    /// Edges that take callers.
    Edges {
        /// Their addresses.
        addresses: Vec<SocketAddr>,
        /// Seconds for which the answer may be kept.
        ttl_s: u64,
    },
    /// It cannot be; the same call will never succeed.
    Invalid {
        /// Why, with the remedy.
        reason: String,
    },
    /// It cannot be now and here; another registry, or this one later, may do it.
    Unavailable {
        /// Why.
        reason: &'static str,
    },
    /// There is no such thing.
    NotFound,
}

impl ControlReply {
    /// What came of the call, for metrics.
    pub fn outcome(&self) -> &'static str {
        match self {
            Self::Done => "done",
            Self::Config(_) => "config",
            Self::Edges { .. } => "edges",
            Self::Invalid { .. } => "invalid",
            Self::Unavailable { .. } => "unavailable",
            Self::NotFound => "not_found",
        }
    }
}
