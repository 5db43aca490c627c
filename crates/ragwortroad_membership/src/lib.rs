//! Fleet membership by gossip: node and endpoint records, failure detection, endpoint homes.
//!
//! [`MembershipTable`] is one node's view of the fleet. It takes time, packets and announcements
//! as inputs and returns packets to send and changes to report. It performs no I/O itself.
//!
//! * Every node holds a compact record of every node and endpoint. It exchanges updates with a few
//!   neighbours only, so its cost hardly grows with the size of the fleet.
//! * A silent node is probed directly and through other nodes, then suspected, and only marked as
//!   down if it does not refute the suspicion in time.
//! * Each endpoint has one home node at a time, and only the home may admit work to it.
//!
//! ```
//! use ragwortroad_membership::prelude::*;
//! use ragwortroad_types::prelude::*;
//!
//! let record = NodeRecord::new("north-1", "zone-a", "127.0.0.1:9080".parse()?);
//! let mut table = MembershipTable::new(MembershipSettings::default(), record, 7);
//! let announce = AnnounceWire {
//!     name: "engine-1".into(),
//!     address: "127.0.0.1:9000".into(),
//!     kind: EndpointKind::Engine,
//!     zone: "zone-a".into(),
//!     service: None,
//!     models: Vec::new(),
//!     capacity: 8,
//!     checks_fencing: false,
//!     build: None,
//!     incarnation: 1,
//!     sequence: 1,
//!     home_epoch: 0,
//!     load: LoadReport::default(),
//!     cache_events: Vec::new(),
//!     leaving: false,
//! };
//! let id = EndpointId::from_name("engine-1");
//! let next = AnnounceWire { sequence: 2, ..announce.clone() };
//! table.handle(GossipInput::Announce(announce), ClockTime(100));
//! assert_eq!(table.home_state(id, ClockTime(150)), HomeState::Claiming);
//! table.handle(GossipInput::Announce(next), ClockTime(200));
//! assert!(table.home_state(id, ClockTime(200)).admits_at(ClockTime(200)));
//! # Ok::<(), std::net::AddrParseError>(())
//! ```

mod blob_table;
mod byte_budget;
mod coarse_load;
mod endpoint_record;
mod endpoint_table;
mod flap_penalty;
mod gossip_action;
mod gossip_input;
mod home_claim;
mod home_selector;
mod home_state;
mod membership_settings;
mod node_record;
mod node_table;
mod peer_link;
mod pending_queue;
mod record_key;
mod relay_table;
mod ring_view;
mod sync_digest;
mod table;
mod wire;

/// The types that dependent crates usually need.
pub mod prelude {
    pub use crate::{
        coarse_load::CoarseLoad,
        endpoint_record::{
            EndpointPresence,
            EndpointRecord, //
        },
        gossip_action::GossipAction,
        gossip_input::GossipInput,
        home_state::HomeState,
        membership_settings::{
            MembershipSettings,
            SeedNode, //
        },
        node_record::{
            NodeRecord,
            NodeState, //
        },
        table::{
            MembershipTable,
            membership_stats::MembershipStats, //
        }, //
    };
}

pub use prelude::*;
