//! Handlers for the requests to a stand-in engine other than chats.

use std::time::Instant;

use bytes::Bytes;
use hyper::Response;
use ragwortroad_types::prelude::*;
use serde::Deserialize;
use serde_json::json;
use tokio::time::sleep;

use crate::{
    OrderRecord,
    engine_state::{
        AttemptId,
        EngineState,
        LockedState, //
    },
    standin_reply::{
        StandinBody,
        StandinReply,
        json_reply, //
    }, //
};

/// The body of `POST /v1/cancel`.
#[derive(Deserialize)]
struct CancelWire {
    request_id: String,
    #[serde(default)]
    attempt: u32,
}

/// Cancels an attempt of a request.
pub(crate) fn handle_cancel(state: &EngineState, body: &[u8]) -> Response<StandinBody> {
    let Ok(cancel) = serde_json::from_slice::<CancelWire>(body) else {
        return malformed_reply();
    };
    let name = AttemptId {
        request_id: cancel.request_id.clone(),
        attempt: cancel.attempt,
    };
    let notify = {
        let mut locked = state.lock();
        locked.cancelled_ids.push(cancel.request_id.clone());
        locked.cancels.remove(&name)
    };
    let found = notify.is_some();
    if let Some(notify) = notify {
        notify.notify_one();
    }
    json_reply(200, &cancel.request_id, &json!({"cancelled": found}))
}

/// Executes an order, or refuses it because its fencing token is outdated.
pub(crate) async fn handle_order(state: &EngineState, body: &Bytes) -> StandinReply {
    let Ok(order) = serde_json::from_slice::<OrderWire>(body) else {
        return Ok(malformed_reply());
    };
    let faults = state.standin.next_faults();
    let checks_fencing = state.settings.checks_fencing && !faults.ignore_fencing;
    if let Err(highest) = record_order(state, &order, checks_fencing) {
        let error = json!({"error": "old fencing number", "highest": highest});
        return Ok(json_reply(409, "", &error));
    }
    if !faults.acknowledge_only {
        if matches!(order.kind, OrderKind::Load { .. }) {
            sleep(state.settings.model_load_time).await;
        }
        apply_order(&mut state.lock(), order.kind);
    }
    sleep(faults.order_response_delay).await;
    Ok(json_reply(200, "", &json!({"done": true})))
}

/// Records an order; fails with the highest fencing token seen if the order's token is older and
/// the engine checks it.
fn record_order(
    state: &EngineState,
    order: &OrderWire,
    checks_fencing: bool,
) -> Result<(), FencingToken> {
    let mut locked = state.lock();
    let accepted = !checks_fencing || order.fence >= locked.highest_fence;
    locked.orders.push(OrderRecord {
        endpoint: state.settings.name.clone(),
        order: order.clone(),
        accepted,
        received_at: Instant::now(),
    });
    if !accepted {
        return Err(locked.highest_fence);
    }
    locked.highest_fence = locked.highest_fence.max(order.fence);
    Ok(())
}

/// Applies an order; a repeated order has no effect.
fn apply_order(locked: &mut LockedState, kind: OrderKind) {
    match kind {
        OrderKind::Load { offer } => load_model(locked, offer),
        OrderKind::Unload { offer } => unload_model(locked, &offer),
        OrderKind::SetRole { role } => locked.role = role,
        OrderKind::SetDrain { drain } => locked.drain = drain,
    }
}

fn load_model(locked: &mut LockedState, requested: ModelOffer) {
    let Some(offer) = locked
        .offers
        .iter_mut()
        .find(|offer| is_same_version(offer, &requested))
    else {
        return locked.offers.push(requested);
    };
    for adapter in requested.adapters {
        if !offer.adapters.contains(&adapter) {
            offer.adapters.push(adapter);
        }
    }
}

fn unload_model(locked: &mut LockedState, removed: &ModelOffer) {
    if removed.adapters.is_empty() {
        return locked
            .offers
            .retain(|offer| !is_same_version(offer, removed));
    }
    for offer in locked.offers.iter_mut() {
        if is_same_version(offer, removed) {
            let adapters = &removed.adapters;
            offer.adapters.retain(|name| !adapters.contains(name));
        }
    }
}

/// Whether two offers are of the same version of the same model.
fn is_same_version(left: &ModelOffer, right: &ModelOffer) -> bool {
    left.model == right.model && left.version == right.version
}

/// Responds with all prefixes in the cache.
pub(crate) fn export_cache(state: &EngineState) -> Response<StandinBody> {
    let prefixes = state.lock().cache.export();
    json_reply(200, "", &json!({"prefixes": prefixes}))
}

/// The body of `POST /v1/cache`.
#[derive(Deserialize)]
struct ImportWire {
    prefixes: Vec<PrefixKey>,
}

/// Imports the prefixes of another engine.
pub(crate) fn import_cache(state: &EngineState, body: &[u8]) -> Response<StandinBody> {
    let Ok(import) = serde_json::from_slice::<ImportWire>(body) else {
        return malformed_reply();
    };
    // The cache stores a chain from its end, so reversing keeps the exporter's order of use.
    let newest_first: Vec<PrefixKey> = import.prefixes.iter().rev().copied().collect();
    state.lock().cache.store(&newest_first);
    json_reply(200, "", &json!({"imported": newest_first.len()}))
}

fn malformed_reply() -> Response<StandinBody> {
    json_reply(
        400,
        "",
        &json!({"error": "the body is not what this path takes"}),
    )
}
