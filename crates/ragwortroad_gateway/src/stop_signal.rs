use tokio::sync::watch::Receiver;

/// Waits until the gateway stops, or until nobody is left who could stop it.
pub(crate) async fn wait_for_stop(stop: &mut Receiver<bool>) {
    if stop.wait_for(|stop| *stop).await.is_err() {
        tracing::debug!("the gateway's owner is gone");
    }
}
