use std::net::{
    IpAddr,
    SocketAddr, //
};

use ragwortroad_dispatch::prelude::*;
use ragwortroad_link::prelude::*;
use tokio::sync::oneshot;

use crate::{
    ControlCall,
    ControlReply,
    folder_report::FolderReport, //
};

/// A connection that was accepted or dialled.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) struct LinkKey(pub(crate) u64);

/// What happens to a registry.
#[derive(Debug)]
pub(crate) enum RegistryEvent {
    /// Someone outside asks.
    Call {
        /// What.
        call: ControlCall,
        /// Where the call comes from.
        client_ip: IpAddr,
        /// Takes the answer.
        reply: oneshot::Sender<ControlReply>,
    },
    /// Another process has connected.
    LinkAccepted {
        /// Names the connection.
        link: LinkKey,
        /// Takes what it is told.
        queue: LinkQueue,
    },
    /// Another registry was reached.
    PeerConnected {
        /// Where it listens.
        peer: SocketAddr,
        /// Takes what it is told.
        queue: LinkQueue,
    },
    /// A process that has connected says something.
    Received {
        /// The connection.
        link: LinkKey,
        /// What.
        message: LinkMessage,
    },
    /// A registry that was reached answers on that connection.
    PeerReceived {
        /// Where it listens.
        peer: SocketAddr,
        /// What.
        message: LinkMessage,
    },
    /// A process's connection has ended.
    LinkClosed {
        /// The connection.
        link: LinkKey,
    },
    /// A registry cannot be reached any more.
    PeerDisconnected {
        /// Where it listened.
        peer: SocketAddr,
    },
    /// The disk has done something.
    Folder(FolderReport),
    /// An earlier process has kept where texts were placed.
    PlacesLoaded(Vec<PlacedText>),
    /// The settings name these registries now.
    SeedsChanged(Vec<SocketAddr>),
    /// The process is to stop.
    Stop,
}
