//! Framed connections between edges and registries, and what is said on them.
//!
//! Each message is one postcard value in a length-delimited frame over TCP. A connection carries
//! messages both ways, says when its other end is silent for too long, and never makes its user
//! wait: what does not fit into the queue ends the connection, and the user connects anew.

mod config_delta;
mod dial_backoff;
mod encoded_message;
mod link_connection;
mod link_error;
mod link_message;
mod link_settings;
mod packed_document;

/// Everything a dependent crate usually needs.
pub mod prelude {
    pub use crate::{
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
