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

/// One question or notice from a traffic thread to the control thread.
///
/// Replies come over a channel made for the one call. A reply channel that closes without a reply
/// means that the control thread is gone: the traffic thread then refuses with
/// [`RefusalCode::InternalFault`].
#[derive(Debug)]
pub enum ControlCall {
    /// May this attempt run, and where?
    Admit(AdmitCall, Sender<AdmitReply>),
    /// The attempt of an earlier grant is over.
    Finish(FinishCall),
    /// Which addresses should this caller use?
    Addresses(AddressCall, Sender<Result<AddressAnswer, RefusalWire>>),
    /// An endpoint announces itself.
    Announce(AnnounceCall, Sender<Result<AnnounceAnswer, RefusalWire>>),
    /// An operator asks or changes something.
    Operator(OperatorCall, Sender<OperatorResponse>),
}
