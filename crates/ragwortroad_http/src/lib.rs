//! Where the body of an HTTP/1.1 response ends, decided in one place for all that read responses of
//! others.

mod body_framing;
mod connection_options;
mod framing_error;

/// Common items for dependent crates.
pub mod prelude {
    pub use crate::{
        body_framing::BodyFraming,
        connection_options::strip_hop_by_hop,
        framing_error::FramingError, //
    };
}

pub use prelude::*;
