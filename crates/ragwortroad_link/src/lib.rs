//! Framed TCP connections between edges, registries and directories, and their message types.
//!
//! Each message is one postcard value in a length-delimited frame. A connection carries messages in
//! both directions, detects a peer that stops sending, and never blocks the sender: if the send
//! queue overflows, the connection is closed and the caller is expected to reconnect.

mod bound_listener;
mod config_delta;
mod dial_backoff;
mod encoded_message;
mod link_connection;
mod link_error;
mod link_message;
mod link_settings;
mod packed_document;

/// The items that dependent crates usually import.
pub mod prelude {
    pub use crate::{
        bound_listener::bind_listener,
        config_delta::ConfigDelta,
        dial_backoff::DialBackoff,
        encoded_message::{
            EncodedMessage,
            decode_message, //
        },
        link_connection::{
            LinkQueue,
            QueuedMessage,
            dial_link,
            run_link, //
        },
        link_error::LinkError,
        link_message::{
            EdgeStage,
            LinkMessage,
            MemberHello,
            PutOutcome, //
        },
        link_settings::LinkSettings,
        packed_document::{
            MAX_DOCUMENT_BYTES,
            pack_document,
            unpack_document, //
        }, //
    };
}

pub use prelude::*;
