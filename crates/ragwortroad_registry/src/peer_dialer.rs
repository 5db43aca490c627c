use std::net::SocketAddr;

use flume::Sender;
use ragwortroad_link::prelude::*;
use ragwortroad_telemetry::prelude::*;
use tokio::time::{
    Instant,
    sleep, //
};

use crate::registry_event::RegistryEvent;

/// Maintains a connection to another registry for as long as the process runs.
pub(crate) async fn maintain_peer_link(peer: SocketAddr, events: Sender<RegistryEvent>) {
    let settings = LinkSettings::default();
    let mut backoff = DialBackoff::default();
    // Seeds are dialled from the start, other registries once they are discovered.
    let started_at = Instant::now();
    loop {
        let limit = backoff.attempt_timeout(started_at.elapsed(), settings.dial_timeout);
        match dial_link(peer, limit).await {
            Ok(stream) => {
                backoff.reset();
                let (queue, receiver) = LinkQueue::new(&settings);
                let own = queue.clone();
                if events
                    .send(RegistryEvent::PeerConnected { peer, queue })
                    .is_err()
                {
                    return;
                }
                let message_events = events.clone();
                let forward = move |message| {
                    if message_events
                        .send(RegistryEvent::PeerReceived { peer, message })
                        .is_err()
                    {
                        tracing::debug!(
                            "dropped a message that arrived after the control loop ended"
                        );
                    }
                };
                let ended = run_link(stream, (own, receiver), true, &settings, forward).await;
                tracing::info!(%peer, %ended, "link to registry lost");
                metrics::counter!(metric_names::LINKS_LOST, "peer" => "registry").increment(1);
                if events
                    .send(RegistryEvent::PeerDisconnected { peer })
                    .is_err()
                {
                    return;
                }
            }
            Err(error) => tracing::debug!(%peer, %error, "failed to connect to registry"),
        }
        sleep(backoff.next_delay(started_at.elapsed())).await;
    }
}
