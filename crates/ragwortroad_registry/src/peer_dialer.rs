use std::{
    net::SocketAddr,
    time::Duration, //
};

use flume::Sender;
use ragwortroad_link::prelude::*;
use tokio::time::sleep;

use crate::registry_event::RegistryEvent;

/// Pause before a registry that was lost is dialled again; doubled by each failure.
const FIRST_PAUSE: Duration = Duration::from_millis(150);

/// Longest pause; a machine that comes back is found within it.
const LONGEST_PAUSE: Duration = Duration::from_millis(1200);

/// Keeps a connection to another registry for as long as the process runs.
pub(crate) async fn keep_dialled(peer: SocketAddr, events: Sender<RegistryEvent>) {
    let settings = LinkSettings::default();
    let mut pause = FIRST_PAUSE;
    loop {
        match dial_link(peer, &settings).await {
            Ok(stream) => {
                pause = FIRST_PAUSE;
                let (queue, receiver) = LinkQueue::new(&settings);
                let own = queue.clone();
                if events.send(RegistryEvent::Reached { peer, queue }).is_err() {
                    return;
                }
                let inward = events.clone();
                let say = move |message| {
                    if inward.send(RegistryEvent::PeerSaid { message }).is_err() {
                        tracing::debug!("a message came after the control loop ended");
                    }
                };
                let ended = run_link(stream, (own, receiver), true, &settings, say).await;
                tracing::info!(%peer, %ended, "registry lost");
                if events.send(RegistryEvent::Unreached { peer }).is_err() {
                    return;
                }
            }
            Err(error) => tracing::debug!(%peer, %error, "registry not reached"),
        }
        sleep(pause).await;
        pause = (pause * 2).min(LONGEST_PAUSE);
    }
}
