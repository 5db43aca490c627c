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

mod call;

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
            RecordedAnswer, //
        },
        announce_call::AnnounceCall,
        attempt_outcome::AttemptOutcome,
        control_call::ControlCall,
        finish_call::FinishCall,
        operator_call::{
            OperatorAnswer,
            OperatorCall, //
        },
        ticket_id::TicketId,
    };
}

pub use prelude::*;
