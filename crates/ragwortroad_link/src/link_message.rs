use std::net::SocketAddr;

use ragwortroad_dispatch::prelude::*;
use serde::{
    Deserialize,
    Serialize, //
};

use crate::ConfigDelta;

/// What edges and registries say to each other.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub enum LinkMessage {
    /// The dialling side is there; the other side answers with the same.
    Keepalive,
    /// Another message, compressed.
    Packed(Vec<u8>),
    /// An edge presents itself; its first message.
    EdgeHello {
        /// Its name.
        node: String,
        /// Where callers reach it.
        address: SocketAddr,
        /// Where other edges ask it for the configuration.
        inner: SocketAddr,
        /// Whether it takes callers.
        stage: EdgeStage,
    },
    /// A directory presents itself; its first message.
    DirectoryHello {
        /// Its name.
        node: String,
    },
    /// Edges, as a registry tells directories where that has changed.
    EdgesKnown(EdgeView),
    /// An edge's stage has changed.
    EdgeStaged(EdgeStage),
    /// An edge wants the configuration, if it is above the version it has.
    WantConfig {
        /// That version, if it has any.
        above: Option<u64>,
        /// Whether it is not to be referred to another edge.
        direct: bool,
    },
    /// An edge takes a registry for its home: it tells it loads and places of texts, and is told those
    /// of the whole fleet.
    Subscribe,
    /// It has another home now.
    Unsubscribe,
    /// Requests that an edge has under way where that has changed, or that all have together.
    Loads(Vec<LoadCount>),
    /// Requests that the edges of one registry have under way together, where that has changed.
    PartialLoads(Vec<LoadCount>),
    /// Texts that were sent to engines which had not read them.
    TextsPlaced(Vec<PrefixLocation>),
    /// The same of another registry's edges, which it tells all registries itself.
    PartialPlaces(Vec<PrefixLocation>),
    /// A registry tells an edge what it knows of the fleet.
    Fleet {
        /// Where registries listen for links.
        registries: Vec<SocketAddr>,
        /// Registries that vote.
        voters: u32,
        /// Registries that this one hears, itself among them.
        hears: u32,
        /// Edges that are connected here.
        edges: u32,
    },
    /// The version that a registry has in force.
    ConfigVersion(u64),
    /// Steps that lead from the version an edge has, or from nothing, to the one in force.
    ConfigDeltas(Vec<ConfigDelta>),
    /// An edge that has the configuration, to be asked for it instead.
    ConfigAt(SocketAddr),
    /// Failure domains that are drained, by a registry's state.
    DomainDrains(DomainDrains),
    /// This edge's part of the requests for an endpoint that warms up.
    WarmupShare(WarmupShare),
    /// What a registry heard from endpoints itself; with it an edge knows all of it.
    EndpointsWhole(Vec<EndpointRecord>),
    /// What a registry heard from endpoints since, in its order.
    EndpointUpdates(Vec<RegistryChange>),
    /// A registry presents itself to another; its first message, and again from time to time.
    MemberHello(MemberHello),
    /// A frame of the agreement.
    Consensus(Vec<u8>),
    /// A registry that does not lead passes on a configuration.
    ForwardPut {
        /// Returned with the outcome.
        token: u64,
        /// The configuration, whole.
        step: ConfigDelta,
    },
    /// What became of a command that was passed on.
    ForwardDone {
        /// The token that came with it.
        token: u64,
        /// What became of it.
        outcome: PutOutcome,
    },
    /// A registry that does not lead passes on a drain order; it finds it among the applied commands.
    ForwardDrain(DrainOrder),
    /// A registry that does not lead asks for a proof that its state is current.
    ReadAsk {
        /// Returned with the answer.
        token: u64,
    },
    /// The index to which a state must be applied to be current; nothing if none can be told.
    ReadDone {
        /// The token that came with the question.
        token: u64,
        /// The index.
        index: Option<u64>,
    },
    /// A registry that keeps places of texts asks an edge for all that it knows.
    WantPlaces,
    /// Those places, the newest last.
    PlacesKnown(Vec<PrefixLocation>),
}

impl LinkMessage {
    /// Its kind, for metrics.
    pub fn kind(&self) -> &'static str {
        match self {
            Self::Keepalive => "keepalive",
            Self::Packed(_) => "packed",
            Self::EdgeHello { .. } => "edge_hello",
            Self::DirectoryHello { .. } => "directory_hello",
            Self::EdgesKnown(_) => "edges_known",
            Self::EdgeStaged(_) => "edge_staged",
            Self::WantConfig { .. } => "want_config",
            Self::Subscribe => "subscribe",
            Self::Unsubscribe => "unsubscribe",
            Self::Loads(_) => "loads",
            Self::PartialLoads(_) => "partial_loads",
            Self::TextsPlaced(_) => "texts_placed",
            Self::PartialPlaces(_) => "partial_places",
            Self::Fleet { .. } => "fleet",
            Self::ConfigVersion(_) => "config_version",
            Self::ConfigDeltas(_) => "config_deltas",
            Self::ConfigAt(_) => "config_at",
            Self::DomainDrains(_) => "domain_drains",
            Self::WarmupShare(_) => "warmup_share",
            Self::EndpointsWhole(_) => "endpoints_whole",
            Self::EndpointUpdates(_) => "endpoint_updates",
            Self::MemberHello(_) => "member_hello",
            Self::Consensus(_) => "consensus",
            Self::ForwardPut { .. } => "forward_put",
            Self::ForwardDrain(_) => "forward_drain",
            Self::ForwardDone { .. } => "forward_done",
            Self::ReadAsk { .. } => "read_ask",
            Self::ReadDone { .. } => "read_done",
            Self::WantPlaces => "want_places",
            Self::PlacesKnown(_) => "places_known",
        }
    }
}

/// Whether an edge takes callers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum EdgeStage {
    /// It has no configuration yet.
    #[default]
    Starting,
    /// It does.
    Ready,
    /// It finishes what it has.
    Draining,
}

/// What a registry says of itself to another.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct MemberHello {
    /// Where it listens for links; this also names its VM.
    pub address: SocketAddr,
    /// Identity of its data folder; nothing while the folder cannot be opened.
    pub member: Option<u64>,
    /// Whether the folder has never been part of a group.
    pub is_empty: bool,
    /// Registries that it knows.
    pub known: Vec<SocketAddr>,
}

/// What became of a command.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum PutOutcome {
    /// It is durable on a quorum.
    Committed,
    /// It may or may not come into force; send it again.
    Unknown,
    /// It was not taken; send it again.
    NotTaken,
}
