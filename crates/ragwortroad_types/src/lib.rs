//! Identifiers, time, and the wire types that all ragwortroad crates share.
//!
//! Nothing here performs I/O, reads a clock or uses randomness. The other crates use these types
//! to communicate with each other, with endpoints and with clients.
//!
//! ```
//! use ragwortroad_types::prelude::*;
//!
//! let chat = ChatKey::from_parts("studio-north", "chat-17");
//! assert_ne!(chat, ChatKey::from_parts("studio-south", "chat-17"));
//! ```

mod address_response;
mod announce_response;
mod announce_wire;
mod cache_event;
mod chat_body;
mod chat_key;
mod clock_time;
mod crash_report;
mod endpoint_id;
mod endpoint_kind;
mod fencing_token;
mod incarnation_key;
mod load_report;
mod model_offer;
mod node_id;
mod order_wire;
mod part_report;
mod prefix_key;
mod refusal_code;
mod refusal_wire;
mod request_digest;
mod request_id;
mod request_outcome;

/// Common items for dependent crates.
pub mod prelude {
    pub use crate::{
        address_response::AddressResponse,
        announce_response::AnnounceResponse,
        announce_wire::AnnounceWire,
        cache_event::{
            CacheChange,
            CacheEvent, //
        },
        chat_body::{
            ChatBody,
            ChatMessage, //
        },
        chat_key::ChatKey,
        clock_time::ClockTime,
        crash_report::{
            CrashReport,
            RunEnd, //
        },
        endpoint_id::EndpointId,
        endpoint_kind::EndpointKind,
        fencing_token::FencingToken,
        incarnation_key::IncarnationKey,
        load_report::LoadReport,
        model_offer::ModelOffer,
        node_id::NodeId,
        order_wire::{
            OrderKind,
            OrderWire,
            RoleWire, //
        },
        part_report::{
            CrashedEndpoint,
            PartEnd,
            PartKey,
            PartReport,
            SuspectPart, //
        },
        prefix_key::{
            PREFIX_BLOCK_BYTES,
            PrefixKey,
            prefix_chain, //
        },
        refusal_code::RefusalCode,
        refusal_wire::{
            RefusalDetail,
            RefusalWire, //
        },
        request_digest::RequestDigest,
        request_id::RequestId,
        request_outcome::RequestOutcome, //
    };
}

pub use prelude::*;
