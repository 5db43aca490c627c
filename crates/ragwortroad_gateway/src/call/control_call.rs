use flume::Sender;

use ragwortroad_types::prelude::*;

use crate::{
    AddressCall,
    AdmitCall,
    AdmitReply,
    AnnounceCall,
    FinishCall,
    OperatorCall, //
    OperatorResponse,
};

/// A call or notification from a traffic thread to the control thread.
///
/// Each reply comes over a channel created for that one call. If the reply channel closes without a
/// reply, the control thread has ended, and the traffic thread refuses the request with
/// [`RefusalCode::InternalFault`].
#[derive(Debug)]
pub enum ControlCall {
    /// Asks whether an attempt may run, and at which endpoint.
    Admit(AdmitCall, Sender<AdmitReply>),
    /// Reports the end of a granted attempt.
    Finish(FinishCall),
    /// Asks which node addresses the client should use.
    Addresses(AddressCall, Sender<Result<AddressResponse, RefusalWire>>),
    /// Forwards the announcement of an endpoint.
    Announce(AnnounceCall, Sender<Result<AnnounceResponse, RefusalWire>>),
    /// Forwards an operator's query or change.
    Operator(OperatorCall, Sender<OperatorResponse>),
}
