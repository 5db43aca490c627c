//! QUIC with mutual TLS between the processes of one fleet.
//!
//! Every node holds a certificate from the fleet's own certificate authority. The certificate
//! proves which [`NodeId`](ragwortroad_types::NodeId) a message comes from, and a peer without one
//! can neither send nor receive. Sending never blocks: each peer has a bounded queue, and messages
//! that do not fit are dropped and counted. A message arrives complete or not at all; messages may
//! arrive out of order.
//!
//! ```
//! use ragwortroad_transport::prelude::*;
//! use ragwortroad_types::prelude::*;
//!
//! let files = make_keys("example", &["north-1", "north-2"])?;
//! let settings = |name: &str| -> Result<TransportSettings, TransportError> {
//!     Ok(TransportSettings {
//!         listen: "127.0.0.1:0".parse().map_err(|_| TransportError::NoNodes)?,
//!         keys: files.peer_keys(name)?,
//!         ..TransportSettings::default()
//!     })
//! };
//! let (north, _north_events) = PeerTransport::start(settings("north-1")?)?;
//! let (south, south_events) = PeerTransport::start(settings("north-2")?)?;
//! north.send(
//!     south.local_address(),
//!     NodeId::from_name("north-2"),
//!     PeerChannel::Consensus,
//!     b"hello".to_vec(),
//! );
//! let PeerEvent::Received(message) = south_events.recv()? else {
//!     unreachable!("nothing was lost");
//! };
//! assert_eq!(message.from, NodeId::from_name("north-1"));
//! north.shutdown();
//! south.shutdown();
//! # Ok::<(), Box<dyn std::error::Error>>(())
//! ```

mod connection_reader;
mod connection_table;
mod key_files;
mod partition_filter;
mod peer_channel;
mod peer_event;
mod peer_identity;
mod peer_keys;
mod peer_queue;
mod peer_transport;
mod peer_writer;
mod send_outcome;
mod tls_setup;
mod transport_error;
mod transport_root;
mod transport_settings;
mod transport_stats;

/// Re-exports of the items that a dependent crate usually needs.
pub mod prelude {
    pub use crate::{
        key_files::{
            KeyFiles,
            NodeKeys,
            add_keys,
            make_keys, //
        },
        partition_filter::PartitionFilter,
        peer_channel::PeerChannel,
        peer_event::{
            PeerEvent,
            PeerMessage, //
        },
        peer_keys::PeerKeys,
        peer_transport::PeerTransport,
        send_outcome::SendOutcome,
        transport_error::TransportError,
        transport_settings::TransportSettings,
        transport_stats::TransportStats, //
    };
}

pub use prelude::*;
