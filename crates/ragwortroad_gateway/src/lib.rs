//! HTTP towards callers, endpoints and operators.
//!
//! The gateway moves bytes on traffic threads and decides nothing: for every decision it sends a
//! [`ControlCall`] to the node's one control thread and awaits the reply. So the state that
//! decisions rest on needs no lock.
//!
//! ```
//! use ragwortroad_gateway::prelude::*;
//!
//! let (calls, control) = flume::unbounded::<ControlCall>();
//! assert!(control.is_empty());
//! drop(calls);
//! ```

mod admit_wait;
mod answer_check;
mod attempt_guard;
mod body_reader;
mod body_room;
mod call;
mod caller_socket;
mod cancel_worker;
mod chunk_wire;
mod connection_count;
mod connection_loop;
mod control_ask;
mod endpoint_link;
mod endpoint_pool;
mod engine_opening;
mod engine_request;
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
mod reply_body;
mod reply_maker;
mod request_context;
mod request_flow;
mod request_router;
mod service_relay;
mod sse_splitter;
mod stop_signal;
mod stream_cursor;
mod stream_relay;
#[cfg(test)]
mod tests;

/// Everything a dependent crate usually needs.
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
