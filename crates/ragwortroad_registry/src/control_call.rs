use std::net::SocketAddr;

use bytes::Bytes;
use ragwortroad_dispatch::prelude::*;

/// A request to the control interface of a registry.
#[derive(Clone, Debug)]
pub enum ControlCall {
    /// An operator submits a configuration.
    PutConfig {
        /// Version of the configuration.
        version: u64,
        /// The document as received, already validated by the decoder.
        document: Bytes,
    },
    /// A submitted configuration that does not parse or is invalid.
    BadConfig(ConfigFault),
    /// An operator drains a failure domain, or undrains it.
    DrainDomain {
        /// Name of the failure domain.
        domain: String,
        /// `true` to stop sending new requests to the domain's endpoints, `false` to resume.
        is_drained: bool,
    },
    /// An operator reads the configuration in force.
    ReadConfig,
    /// An endpoint announces itself or its new state.
    Announce(Box<EndpointRecord>),
    /// An announcement that does not describe a usable endpoint.
    BadAnnouncement {
        /// What is wrong with the announcement.
        reason: String,
    },
    /// An endpoint leaves permanently.
    Goodbye {
        /// Name of the endpoint.
        name: String,
    },
    /// A client asks for addresses of edges.
    FindEdges,
    /// Any other method or path.
    Unknown,
}

/// A registry's reply to a [`ControlCall`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ControlReply {
    /// The request took effect, or was already in effect.
    Done,
    /// The document of the configuration in force.
    Config(Bytes),
    /// Edges that accept clients.
    Edges {
        /// Addresses at which clients reach the edges.
        addresses: Vec<SocketAddr>,
        /// Seconds for which the client may cache the reply.
        ttl_s: u64,
    },
    /// The request is invalid and fails however often it is repeated.
    Invalid {
        /// What is wrong, and how to correct it.
        reason: String,
    },
    /// The configuration is too large to be stored, however often it is sent.
    TooLarge {
        /// What is too large, and how to correct it.
        reason: &'static str,
        /// The limit on the size after compression, in bytes.
        limit_bytes: usize,
    },
    /// The request cannot be served here and now. Another registry, or a later retry, may succeed.
    Unavailable {
        /// Why the request cannot be served.
        reason: &'static str,
    },
    /// No such path or method exists.
    NotFound,
}

impl ControlReply {
    /// The `outcome` label of the call metrics.
    pub fn outcome(&self) -> &'static str {
        match self {
            Self::Done => "done",
            Self::Config(_) => "config",
            Self::Edges { .. } => "edges",
            Self::Invalid { .. } => "invalid",
            Self::TooLarge { .. } => "too_large",
            Self::Unavailable { .. } => "unavailable",
            Self::NotFound => "not_found",
        }
    }
}
