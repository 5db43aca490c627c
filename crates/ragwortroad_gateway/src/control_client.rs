use flume::Sender;
use ragwortroad_types::prelude::*;
use tokio::time::timeout_at;

use crate::{
    ControlCall,
    gateway_state::GatewayState,
    request_context::RequestContext, //
};

/// Sends a call that reserves no resources at the control thread, and awaits its reply. Returns a
/// refusal if the control thread has ended or the deadline passes.
pub(crate) async fn call_control<Reply>(
    state: &GatewayState,
    context: &RequestContext,
    make_call: impl FnOnce(Sender<Reply>) -> ControlCall,
) -> Result<Reply, RefusalWire> {
    let (sender, replies) = flume::bounded(1);
    let exchange = async {
        state.calls.send_async(make_call(sender)).await.ok()?;
        replies.recv_async().await.ok()
    };
    match timeout_at(context.deadline, exchange).await {
        Ok(Some(reply)) => Ok(reply),
        Ok(None) => {
            let message = "the node's control thread has ended";
            Err(context.not_run(RefusalCode::InternalFault, message))
        }
        Err(_) => {
            let message = "the node did not decide in time";
            Err(context.not_run(RefusalCode::DeadlinePassed, message))
        }
    }
}
