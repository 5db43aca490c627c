//! Edge proxy that forwards client requests to endpoints.
//!
//! An edge has no persistent state. It connects to every registry, receives the site's
//! configuration and endpoints from them, and forwards each request by host and path. The protocol
//! of clients and endpoints is not known here: an [`EdgePort`] parses their headers and writes the
//! edge's own.

mod body_discard;
mod body_room;
mod byte_budget;
mod client_body;
mod client_session;
mod client_socket;
mod client_table;
mod client_timer;
mod client_wait;
mod config_exchange;
mod config_update;
mod connection_end;
mod connection_pool;
mod crash_check;
mod crash_watch;
mod customer_flow;
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
mod keeper_call;
mod late_call;
mod open_request;
mod origin_questions;
mod partial_body;
mod partial_bytes;
mod read_stall;
mod refusal_reason;
mod refusal_response;
mod refused_request;
mod registry_link;
mod relay_call;
mod relay_head;
mod relay_peers;
mod request_completion;
mod request_counter;
mod request_flow;
mod request_plan;
mod request_progress;
mod request_reading;
mod run_clock;
mod scarce_services;
mod service_contact;
mod service_gate;
mod shutdown_time;
mod silence_check;
mod silence_checks;
mod stream_body;
mod stream_break;
mod stream_origins;
mod stream_search;
mod stream_silence;
#[cfg(test)]
mod tests;
mod update_counts;
mod wait_end;
mod work_estimate;

/// The items that dependent crates usually import.
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
