//! How edges give each other a whole configuration.
//!
//! A registry that many edges ask at once refers some of them to edges that have it. An edge that
//! fails at that asks another registry, so nothing depends on the edge that was named.

use std::{
    net::SocketAddr,
    rc::Rc,
    time::Duration, //
};

use ragwortroad_link::prelude::*;
use tokio::{
    net::{
        TcpListener,
        TcpStream, //
    },
    task::spawn_local,
    time::{
        sleep,
        timeout, //
    }, //
};

use crate::{
    config_update::{
        apply_deltas,
        refresh_config, //
    },
    edge_state::{
        EdgeShared,
        EdgeState, //
    }, //
};

/// Time for a connection to another edge; within a region it is there after some milliseconds.
const DIAL_TIMEOUT: Duration = Duration::from_millis(300);

/// Time for another edge to give its configuration.
const FETCH_TIMEOUT: Duration = Duration::from_millis(1000);

/// Pause after an accept that failed, so that a lack of descriptors does not make the loop spin.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Gives the configuration to edges that ask for it.
pub(crate) async fn serve_configs(shared: Rc<EdgeShared>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                spawn_local(serve_peer(Rc::clone(&shared), stream));
            }
            Err(error) => {
                tracing::warn!(%error, "a connection of another edge could not be accepted");
                sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

async fn serve_peer(shared: Rc<EdgeShared>, stream: TcpStream) {
    let settings = LinkSettings::default();
    let (queue, receiver) = LinkQueue::new(&settings);
    let reply_queue = queue.clone();
    let on_message = move |message| match message {
        LinkMessage::WantConfig { above, .. } => {
            let step = full_config_above(&mut shared.state.borrow_mut(), above);
            let steps = step.into_iter().collect();
            reply_queue.send(&LinkMessage::ConfigDeltas(steps));
        }
        other => tracing::warn!(?other, "a message that no edge sends an edge"),
    };
    let ended = run_link(stream, (queue, receiver), false, &settings, on_message).await;
    tracing::debug!(%ended, "a connection of another edge ended");
}

/// The whole configuration, where it is above `above`.
fn full_config_above(state: &mut EdgeState, above: Option<u64>) -> Option<ConfigDelta> {
    let version = state.version().filter(|version| Some(*version) > above)?;
    if state.full_config.is_none() {
        let document = state.document.as_ref()?;
        match pack_document(document, None) {
            Ok(packed) => {
                state.full_config = Some(ConfigDelta {
                    version,
                    base: None,
                    packed,
                });
            }
            Err(error) => tracing::error!(%error, "the configuration cannot be packed"),
        }
    }
    state.full_config.clone()
}

/// Asks another edge for the configuration.
pub(crate) async fn fetch_config(shared: Rc<EdgeShared>, helper: SocketAddr) {
    let before = shared.state.borrow().version();
    let fetched = timeout(FETCH_TIMEOUT, request_from_edge(&shared, helper, before)).await;
    let version = shared.state.borrow().version();
    if version > before {
        tracing::info!(%helper, version, "configuration given by another edge");
    } else {
        let reason = match fetched {
            Ok(ended) => ended.to_string(),
            Err(_) => "it did not answer in time".to_owned(),
        };
        tracing::info!(%helper, reason, "another edge gave no configuration");
        shared.state.borrow_mut().fetch.note_failed();
    }
    refresh_config(&shared);
}

async fn request_from_edge(
    shared: &Rc<EdgeShared>,
    helper: SocketAddr,
    above: Option<u64>,
) -> LinkError {
    let settings = LinkSettings::default();
    let stream = match dial_link(helper, DIAL_TIMEOUT).await {
        Ok(stream) => stream,
        Err(error) => return error,
    };
    let (queue, receiver) = LinkQueue::new(&settings);
    let direct = true;
    queue.send(&LinkMessage::WantConfig { above, direct });
    let (message_shared, close_handle) = (Rc::clone(shared), queue.clone());
    let on_message = move |message| {
        if let LinkMessage::ConfigDeltas(steps) = message {
            // Without a step the registry that named the edge counts as not having answered.
            if !steps.is_empty() {
                apply_deltas(&message_shared, &steps);
            }
            close_handle.close();
        }
    };
    run_link(stream, (queue, receiver), true, &settings, on_message).await
}
