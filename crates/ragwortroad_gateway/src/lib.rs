//! HTTP server for clients, endpoints and operators.
//!
//! The gateway moves bytes on its traffic threads and makes no decisions: for each decision it
//! sends a [`ControlCall`] to the node's single control thread and awaits the reply. The state
//! behind those decisions therefore needs no lock.
//!
//! ```
//! use ragwortroad_gateway::prelude::*;
//!
//! let (calls, control) = flume::unbounded::<ControlCall>();
//! assert!(control.is_empty());
//! drop(calls);
//! ```

mod admit_wait;
mod attempt_guard;
mod body_budget;
mod body_reader;
mod call;
mod cancel_worker;
mod chunk_wire;
mod client_socket;
mod connection_count;
mod connection_loop;
mod control_client;
mod endpoint_link;
mod endpoint_pool;
mod engine_request;
mod engine_response;
mod exchange_phase;
mod gateway_error;
mod gateway_pages;
mod gateway_server;
mod gateway_settings;
mod gateway_state;
mod header_names;
mod model_relay;
mod page_handlers;
mod query_values;
mod request_context;
mod request_flow;
mod request_router;
mod response_body;
mod response_builder;
mod response_check;
mod service_relay;
mod sse_splitter;
mod stop_signal;
mod stream_cursor;
mod stream_relay;
#[cfg(test)]
mod tests;

/// Re-exports of the items that a dependent crate usually needs.
pub mod prelude {
    pub use crate::call::{
        address_call::AddressCall,
        admit_call::{
            AdmitCall,
            RequestTarget, //
        },
        admit_reply::{
            AdmitGrant,
            AdmitReply,
            RecordedResponse, //
        },
        announce_call::AnnounceCall,
        attempt_outcome::AttemptOutcome,
        control_call::ControlCall,
        finish_call::FinishCall,
        operator_call::{
            OperatorCall, //
            OperatorResponse,
        },
        ticket_id::TicketId,
    };
    pub use crate::{
        gateway_error::GatewayError,
        gateway_pages::GatewayPages,
        gateway_server::GatewayServer,
        gateway_settings::GatewaySettings, //
    };
}

pub use prelude::*;
