//! Transfer of full configurations between edges.
//!
//! A registry that receives many requests at once refers some edges to other edges that have the
//! configuration. If that fails, the edge asks another registry, so nothing depends on a particular
//! edge.

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

/// Timeout for connecting to another edge; within a region it takes a few milliseconds.
const DIAL_TIMEOUT: Duration = Duration::from_millis(300);

/// Timeout for another edge to send its configuration.
const FETCH_TIMEOUT: Duration = Duration::from_millis(1000);

/// Delay after a failed accept, so that the loop does not spin when file descriptors run out.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Sends the configuration to edges that ask for it.
pub(crate) async fn serve_configs(shared: Rc<EdgeShared>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                spawn_local(serve_peer(Rc::clone(&shared), stream));
            }
            Err(error) => {
                tracing::warn!(%error, "failed to accept a connection from another edge");
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
        other => tracing::warn!(?other, "unexpected message from another edge"),
    };
    let ended = run_link(stream, (queue, receiver), false, &settings, on_message).await;
    tracing::debug!(%ended, "connection from another edge closed");
}

/// Returns the full configuration if its version is higher than `above`.
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
            Err(error) => tracing::error!(%error, "failed to compress the configuration"),
        }
    }
    state.full_config.clone()
}

/// Requests the configuration from another edge, and reports a failure so that a registry is asked
/// next.
pub(crate) async fn fetch_config(shared: Rc<EdgeShared>, helper: SocketAddr) {
    let before = shared.state.borrow().version();
    let fetched = timeout(FETCH_TIMEOUT, request_from_edge(&shared, helper, before)).await;
    let version = shared.state.borrow().version();
    if version > before {
        tracing::info!(%helper, version, "received configuration from another edge");
    } else {
        let reason = match fetched {
            Ok(ended) => ended.to_string(),
            Err(_) => "timed out".to_owned(),
        };
        tracing::info!(%helper, reason, "failed to fetch the configuration from another edge");
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
            // An empty response counts as a failure of the registry that referred to this edge.
            if !steps.is_empty() {
                apply_deltas(&message_shared, &steps);
            }
            close_handle.close();
        }
    };
    run_link(stream, (queue, receiver), true, &settings, on_message).await
}
