use std::rc::Rc;

use ragwortroad_dispatch::prelude::*;
use tokio::task::spawn_local;

use crate::{
    edge_state::EdgeShared,
    endpoint_connection::{
        EndpointConnection,
        is_timeout_error, //
    }, //
};

/// Checks, beside the request that waits, whether the VM of an endpoint that has not responded in
/// time accepts connections.
///
/// A slow endpoint accepts them at once. One that does not is avoided long before its open
/// connections time out.
pub(crate) fn check_silence(shared: &Rc<EdgeShared>, endpoint: EndpointKey) {
    let now = shared.now();
    let is_due = shared
        .state
        .borrow_mut()
        .silence_checks
        .take_due(endpoint, now);
    if is_due {
        spawn_local(dial_silent(Rc::clone(shared), endpoint));
    }
}

async fn dial_silent(shared: Rc<EdgeShared>, endpoint: EndpointKey) {
    let record = shared.state.borrow().endpoints.record(endpoint).cloned();
    let Some(record) = record else {
        return;
    };
    let source = shared.settings.endpoint_source;
    match EndpointConnection::open(record.address, source).await {
        Ok(connection) => {
            let now = shared.now();
            shared.pool.keep(record.address, connection, None, now);
            shared.note_reached(&record.zone);
        }
        Err(error) => {
            tracing::info!(endpoint = record.name, %error, "endpoint does not respond");
            shared.pool.close_address(record.address);
            let now = shared.now();
            shared
                .state
                .borrow_mut()
                .load_mut(endpoint)
                .note_failure(now);
            if is_timeout_error(&error) {
                shared.note_silent(&record.zone, endpoint);
            }
            shared.note_lost(endpoint);
        }
    }
}
