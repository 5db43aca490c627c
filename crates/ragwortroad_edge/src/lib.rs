//! The process that takes callers' requests and passes them on to endpoints.
//!
//! An edge keeps nothing that must survive. It connects to every registry, learns the site's
//! configuration and its endpoints from them, and forwards each request by host and path. How
//! callers and endpoints name things is not known here: an [`EdgePort`](prelude::EdgePort) reads
//! their headers and writes ours.

mod config_exchange;
mod config_update;
mod connection_pool;
mod domain_probe;
mod edge_body;
mod edge_error;
mod edge_gates;
mod edge_links;
mod edge_port;
mod edge_process;
mod edge_state;
mod endpoint_call;
mod endpoint_choice;
mod endpoint_connection;
mod event_framer;
mod gate_permit;
mod http_server;
mod in_flight_guard;
mod refusal_reason;
mod refusal_response;
mod registry_link;
mod request_completion;
mod request_flow;
mod request_plan;
mod request_progress;
mod request_reading;
mod service_gate;
mod stream_body;
#[cfg(test)]
mod tests;

/// Everything a dependent crate usually needs.
pub mod prelude {
    pub use crate::{
        edge_error::EdgeError,
        edge_port::{
            EdgePort,
            ForwardMetadata,
            PromptPart,
            RequestMetadata,
            ResponseMetadata, //
        },
        edge_process::{
            EdgeSignal,
            run_edge, //
        },
        event_framer::EventFramer, //
    };
}

pub use prelude::*;
