//! What all that read HTTP/1.1 responses of others have in common: where a body ends, and how many
//! bytes may come that belong to no response.

mod body_framing;
mod connection_options;
mod endpoint_socket;
mod framing_error;
mod read_progress;

/// Common items for dependent crates.
pub mod prelude {
    pub use crate::{
        body_framing::BodyFraming,
        connection_options::strip_hop_by_hop,
        endpoint_socket::EndpointSocket,
        framing_error::FramingError,
        read_progress::{
            ReadProgress,
            StrayBytes, //
        }, //
    };
}

pub use prelude::*;
