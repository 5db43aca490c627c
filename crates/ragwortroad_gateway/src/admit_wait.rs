use flume::{
    Receiver,
    WeakSender, //
};
use ragwortroad_types::prelude::*;

use crate::{
    AdmitCall,
    AdmitReply,
    AttemptOutcome,
    ControlCall,
    FinishCall,
    gateway_state::GatewayState, //
};

/// Waits for the control thread's reply to one [`AdmitCall`].
///
/// A client can disconnect after the control thread grants and before the gateway reads the grant.
/// The grant would then never be returned and count as load forever. A dropped wait therefore
/// returns an unread grant; if there is none, it fills the single slot of the channel, so that a
/// later reply fails at the control thread, which then revokes its own grant.
pub(crate) struct AdmitWait<'state> {
    state: &'state GatewayState,
    replies: Receiver<AdmitReply>,
    sender: WeakSender<AdmitReply>,
    has_reply: bool,
}

/// The control thread ended before it replied.
pub(crate) struct ControlClosed;

impl<'state> AdmitWait<'state> {
    pub(crate) async fn request(
        state: &'state GatewayState,
        call: AdmitCall,
    ) -> Result<AdmitReply, ControlClosed> {
        let (sender, replies) = flume::bounded(1);
        let mut wait = Self {
            state,
            replies,
            sender: sender.downgrade(),
            has_reply: false,
        };
        state
            .calls
            .send_async(ControlCall::Admit(call, sender))
            .await
            .map_err(|_| ControlClosed)?;
        let reply = wait.replies.recv_async().await.map_err(|_| ControlClosed)?;
        wait.has_reply = true;
        Ok(reply)
    }

    /// Returns an unread grant to the control thread. The result is true if there was a reply.
    fn return_grant(&self) -> bool {
        match self.replies.try_recv() {
            Ok(AdmitReply::Granted(grant)) => {
                let finish = FinishCall {
                    rest: None,
                    ticket: grant.ticket,
                    outcome: AttemptOutcome::NotSent,
                    duration: std::time::Duration::ZERO,
                };
                if self.state.calls.send(ControlCall::Finish(finish)).is_err() {
                    tracing::error!("control thread has ended; grant not returned");
                }
                true
            }
            Ok(_) => true,
            Err(_) => false,
        }
    }
}

impl Drop for AdmitWait<'_> {
    fn drop(&mut self) {
        if self.has_reply || self.return_grant() {
            return;
        }
        if let Some(sender) = self.sender.upgrade() {
            let code = RefusalCode::InternalFault;
            let placeholder =
                RefusalWire::new(RequestOutcome::NotRun, code, "", RequestId::default());
            if sender.try_send(AdmitReply::Refused(placeholder)).is_ok() {
                return;
            }
        }
        self.return_grant();
    }
}
