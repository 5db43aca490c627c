use std::net::{
    IpAddr,
    SocketAddr, //
};

use ragwortroad_dispatch::prelude::*;
use ragwortroad_link::prelude::*;
use ragwortroad_types::prelude::*;
use tokio::sync::oneshot;

use crate::{
    ControlCall,
    ControlReply,
    folder_report::FolderReport,
    version_report::VersionReport, //
};

/// Identifies an accepted connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) struct LinkKey(pub(crate) u64);

/// An event for the control loop of a registry or directory.
#[derive(Debug)]
pub(crate) enum RegistryEvent {
    /// A request arrived on the control interface.
    Call {
        call: ControlCall,
        /// Address of the sender.
        client_ip: IpAddr,
        /// Receives the reply.
        reply: oneshot::Sender<ControlReply>,
    },
    /// A process connected to this registry.
    LinkAccepted {
        link: LinkKey,
        /// Outbound queue of the connection.
        queue: LinkQueue,
    },
    /// A dialled connection to another registry was established.
    PeerConnected {
        /// Address at which the registry listens for links.
        peer: SocketAddr,
        /// Outbound queue of the connection.
        queue: LinkQueue,
    },
    /// A message arrived on an accepted connection.
    Received { link: LinkKey, message: LinkMessage },
    /// A registry sent a message on the connection dialled to it.
    PeerReceived {
        /// Address at which the registry listens for links.
        peer: SocketAddr,
        message: LinkMessage,
    },
    /// An accepted connection was closed.
    LinkClosed { link: LinkKey },
    /// A dialled connection to another registry was lost.
    PeerDisconnected {
        /// Address at which the registry listens for links.
        peer: SocketAddr,
    },
    /// The folder worker reported.
    Folder(FolderReport),
    /// Prefix locations saved by an earlier process were loaded.
    LocationsLoaded(Vec<PrefixLocation>),
    /// Crashes by parts of prompts saved by an earlier process were loaded.
    PartsLoaded(Vec<PartReport>),
    /// Addresses of other registries saved by an earlier process were loaded.
    PeersLoaded(Vec<SocketAddr>),
    /// The thread that keeps software versions reported.
    Versions(VersionReport),
    /// Origins of streams saved by an earlier process were loaded.
    OriginsLoaded(Vec<StreamOrigin>),
    /// The seed addresses in the settings have changed.
    SeedsChanged(Vec<SocketAddr>),
    /// The process must stop.
    Stop,
}
