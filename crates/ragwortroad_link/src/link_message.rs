use std::net::SocketAddr;

use ragwortroad_dispatch::prelude::*;
use ragwortroad_types::prelude::*;
use serde::{
    Deserialize,
    Serialize, //
};

use crate::ConfigDelta;

/// Messages between edges, registries and directories.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub enum LinkMessage {
    /// Sent by the dialer when the connection is idle; the other side replies with the same
    /// message.
    Keepalive,
    /// Another message, compressed.
    Packed(Vec<u8>),
    /// First message of an edge on a connection.
    EdgeHello {
        /// Name of the edge.
        node: String,
        /// Address at which clients reach the edge.
        address: SocketAddr,
        /// Address at which other edges can fetch the configuration from it.
        inner: SocketAddr,
        /// Lifecycle stage of the edge.
        stage: EdgeStage,
        /// Failure domain of the edge.
        zone: String,
        /// Secret by which the edge recognizes requests that other edges relay to it.
        relay_key: RelayKey,
    },
    /// First message of a directory on a connection.
    DirectoryHello {
        /// Name of the directory.
        node: String,
    },
    /// Set of edges, sent by a registry to directories whenever it changes.
    EdgesKnown(EdgeView),
    /// The edge's lifecycle stage has changed.
    EdgeStaged(EdgeStage),
    /// An edge has lost contact with endpoints, or has regained it; repeated while it lasts.
    EdgeReach {
        /// Whether it has lost contact with a service.
        is_cut_off: bool,
        /// Whether the registry must reply with edges that take its requests.
        wants_peers: bool,
    },
    /// Edges that take the requests of an edge that has lost contact with endpoints.
    RelayPeers(Vec<RelayPeer>),
    /// An edge requests the configuration if a newer one than its own is available.
    WantConfig {
        /// Version that the edge has; `None` if it has no configuration.
        above: Option<u64>,
        /// If true, the registry must send the configuration itself instead of referring to another
        /// edge.
        direct: bool,
    },
    /// An edge selects this registry as its home. It reports its loads and prefix locations to the
    /// home and receives those of the whole fleet from it.
    Subscribe,
    /// The edge has selected another home.
    Unsubscribe,
    /// Changed numbers of in-flight requests per endpoint: those of one edge when sent by an edge,
    /// the totals of all edges when sent by a registry.
    Loads(Vec<LoadCount>),
    /// Changed totals of in-flight requests per endpoint, over the edges of one registry.
    PartialLoads(Vec<LoadCount>),
    /// Prefixes sent to engines that did not have them cached.
    TextsPlaced(Vec<PrefixLocation>),
    /// Prefix locations reported by the edges of one registry, which that registry sends to all
    /// other registries itself.
    PartialPlaces(Vec<PrefixLocation>),
    /// A registry's view of the fleet, sent to edges.
    Fleet {
        /// Addresses at which registries listen for links.
        registries: Vec<SocketAddr>,
        /// Number of registries that vote.
        voters: u32,
        /// Number of registries that the sender receives messages from, including itself.
        hears: u32,
        /// Number of edges connected to the sender.
        edges: u32,
        /// Number of these that have lost contact with endpoints.
        cut_off_edges: u32,
    },
    /// Version of the configuration in force at a registry.
    ConfigVersion(u64),
    /// Steps from the version that an edge has, or from no configuration, to the one in force.
    ConfigDeltas(Vec<ConfigDelta>),
    /// Refers the edge to another edge that has the configuration.
    ConfigAt(SocketAddr),
    /// Drained failure domains according to the state of a registry.
    DomainDrains(DomainDrains),
    /// The edge's share of the request rate for an endpoint that is warming up.
    WarmupShare(WarmupShare),
    /// All endpoints that a registry heard from directly. After this message the edge has the
    /// registry's complete view.
    EndpointsWhole(Vec<EndpointRecord>),
    /// Endpoint changes since then that the registry heard directly, in its order.
    EndpointUpdates(Vec<RegistryChange>),
    /// A registry introduces itself to another one; sent first on a connection and repeated
    /// periodically.
    MemberHello(MemberHello),
    /// A consensus frame.
    Consensus(Vec<u8>),
    /// A follower forwards a configuration to the leader.
    ForwardPut {
        /// Token returned with the outcome.
        token: u64,
        /// The full configuration.
        step: ConfigDelta,
    },
    /// Outcome of a forwarded command.
    ForwardDone {
        /// Token of the forwarded command.
        token: u64,
        /// Result of the command.
        outcome: PutOutcome,
    },
    /// A follower forwards a drain order to the leader and waits to see it among the applied
    /// commands.
    ForwardDrain(DrainOrder),
    /// A follower asks the leader to confirm that its state is current (read index).
    ReadAsk {
        /// Token returned with the response.
        token: u64,
    },
    /// Response to a [`ReadAsk`](Self::ReadAsk).
    ReadDone {
        /// Token of the request.
        token: u64,
        /// Log index that must be applied for the state to be current; `None` if it cannot be
        /// determined.
        index: Option<u64>,
    },
    /// A registry that stores prefix locations asks an edge for all it knows.
    WantPlaces,
    /// All prefix locations an edge knows, newest last.
    PlacesKnown(Vec<PrefixLocation>),
    /// Requests under which endpoints have crashed: new observations, or all known ones right after
    /// connecting.
    Crashes(Vec<CrashReport>),
    /// Parts of prompts under which endpoints have crashed: new observations, or all known ones right
    /// after connecting.
    PartCrashes(Vec<PartReport>),
    /// Streams that began while endpoints of several software versions served, for registries to
    /// remember.
    StreamOrigins {
        /// Versions of the services that have several.
        versions: Vec<VersionTag>,
        /// The streams.
        origins: Vec<StreamOrigin>,
    },
    /// An edge asks which software version began a stream that a client takes up again.
    WantOrigin {
        /// Token returned with the answer.
        token: u64,
        /// The stream; `None` if the client does not name it.
        stream: Option<StreamKey>,
        /// Service that the request is for.
        service: ServiceTag,
    },
    /// Answer to a [`WantOrigin`](Self::WantOrigin).
    OriginKnown {
        /// Token of the question.
        token: u64,
        /// What the registry knows.
        answer: OriginAnswer,
    },
    /// The edges that may keep the places of scarce services, for an edge that asked for them;
    /// replaces what was sent before.
    PlaceKeepers(Vec<KeeperCandidate>),
    /// Changed use of services by customers: that of one edge when sent by an edge, the totals of
    /// all edges when sent by a registry.
    CustomerLoads(Vec<CustomerLoad>),
    /// Changed use of services by customers, over the edges of one registry.
    PartialCustomerLoads(Vec<CustomerLoad>),
    /// [`Loads`](Self::Loads), with figures of endpoints that announce any.
    LoadsWithFigures {
        /// Changed numbers of in-flight requests.
        counts: Vec<LoadCount>,
        /// Changed figures.
        figures: Vec<EndpointFigures>,
    },
    /// [`PartialLoads`](Self::PartialLoads), with figures of endpoints that announce any.
    PartialLoadsWithFigures {
        /// Changed numbers of in-flight requests.
        counts: Vec<LoadCount>,
        /// Changed figures.
        figures: Vec<EndpointFigures>,
    },
    /// An edge asks for the edges that may keep the places of scarce services.
    WantKeepers,
    /// Reports of endpoints that leave, received by another registry.
    KeepNotices {
        /// Token returned with the acknowledgement; if present, the receiver publishes the reports
        /// to its edges.
        token: Option<u64>,
        /// The reports: goodbyes, and records of draining endpoints.
        notices: Vec<RegistryChange>,
    },
    /// A registry has kept and published reports.
    NoticesKept {
        /// Token of the [`KeepNotices`](Self::KeepNotices).
        token: u64,
    },
    /// All software versions that a voting registry has on disk, sent to edges whenever they change;
    /// empty while it does not vote.
    VersionsKept(Vec<VersionTag>),
    /// Software versions that a registry knows, sent to the other registries: new ones, or all after
    /// connecting and periodically.
    KnownVersions {
        /// The versions.
        known: Vec<KnownVersion>,
        /// Whether these are all versions of a voter that knows all that it ever had to keep.
        is_complete: bool,
    },
}

impl LinkMessage {
    /// Returns the message with changed loads, and with figures if there are any; `None` if there is
    /// nothing to tell.
    pub fn loads(counts: Vec<LoadCount>, figures: Vec<EndpointFigures>) -> Option<Self> {
        match (counts.is_empty(), figures.is_empty()) {
            (true, true) => None,
            (false, true) => Some(Self::Loads(counts)),
            (_, false) => Some(Self::LoadsWithFigures { counts, figures }),
        }
    }

    /// Returns the message with changed loads of one registry's edges, as [`loads`](Self::loads)
    /// does.
    pub fn partial_loads(counts: Vec<LoadCount>, figures: Vec<EndpointFigures>) -> Option<Self> {
        match (counts.is_empty(), figures.is_empty()) {
            (true, true) => None,
            (false, true) => Some(Self::PartialLoads(counts)),
            (_, false) => Some(Self::PartialLoadsWithFigures { counts, figures }),
        }
    }

    /// Kind of the message, used as a metric label.
    pub fn kind(&self) -> &'static str {
        match self {
            Self::Keepalive => "keepalive",
            Self::Packed(_) => "packed",
            Self::EdgeHello { .. } => "edge_hello",
            Self::DirectoryHello { .. } => "directory_hello",
            Self::EdgesKnown(_) => "edges_known",
            Self::EdgeStaged(_) => "edge_staged",
            Self::EdgeReach { .. } => "edge_reach",
            Self::RelayPeers(_) => "relay_peers",
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
            Self::Crashes(_) => "crashes",
            Self::PartCrashes(_) => "part_crashes",
            Self::StreamOrigins { .. } => "stream_origins",
            Self::WantOrigin { .. } => "want_origin",
            Self::OriginKnown { .. } => "origin_known",
            Self::PlaceKeepers(_) => "place_keepers",
            Self::CustomerLoads(_) => "customer_loads",
            Self::PartialCustomerLoads(_) => "partial_customer_loads",
            Self::LoadsWithFigures { .. } => "loads_with_figures",
            Self::PartialLoadsWithFigures { .. } => "partial_loads_with_figures",
            Self::WantKeepers => "want_keepers",
            Self::KeepNotices { .. } => "keep_notices",
            Self::NoticesKept { .. } => "notices_kept",
            Self::VersionsKept(_) => "versions_kept",
            Self::KnownVersions { .. } => "known_versions",
        }
    }
}

/// Lifecycle stage of an edge; only a ready edge is listed for clients.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum EdgeStage {
    /// Waiting for the first configuration.
    #[default]
    Starting,
    /// Accepts clients.
    Ready,
    /// Completes requests in flight before it stops.
    Draining,
}

/// A registry's introduction to another registry.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct MemberHello {
    /// Address at which it listens for links; also identifies its VM.
    pub address: SocketAddr,
    /// Member id stored in its data folder; `None` while the folder cannot be opened.
    pub member: Option<u64>,
    /// Whether the data folder has never been part of a group.
    pub is_empty: bool,
    /// Addresses of all registries it knows.
    pub known: Vec<SocketAddr>,
}

/// Outcome of a command submitted to the consensus log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum PutOutcome {
    /// Committed: durable on a quorum.
    Committed,
    /// The command may or may not take effect; the sender should retry it.
    Unknown,
    /// The command was not accepted; the sender should retry it.
    NotTaken,
    /// The command exceeds the size limit of the log; the sender must not retry it.
    TooLarge,
}
