use tokio::sync::watch::Receiver;

/// Waits until the gateway stops or the sender of the stop signal is dropped.
pub(crate) async fn wait_for_stop(stop: &mut Receiver<bool>) {
    if stop.wait_for(|stop| *stop).await.is_err() {
        tracing::debug!("stop signal sender was dropped");
    }
}
