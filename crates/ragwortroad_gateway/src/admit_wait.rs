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

/// The wait for the control thread's reply to one [`AdmitCall`].
///
/// A caller can leave between the moment the control thread grants and the moment this side reads
/// the grant. The grant would then never be given back and count as load for ever. So a dropped
/// wait reads what is there, and else fills the channel's one place: a later reply fails at the
/// control thread, which then takes its grant back itself.
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

    /// Gives back a grant that nobody read; true if there was a reply.
    fn return_grant(&self) -> bool {
        match self.replies.try_recv() {
            Ok(AdmitReply::Granted(grant)) => {
                let finish = FinishCall {
                    ticket: grant.ticket,
                    outcome: AttemptOutcome::NotSent,
                    duration: std::time::Duration::ZERO,
                };
                if self.state.calls.send(ControlCall::Finish(finish)).is_err() {
                    tracing::error!("the control thread is gone");
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
