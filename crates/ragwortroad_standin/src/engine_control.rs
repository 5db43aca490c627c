//! What a stand-in engine does besides answering chats.

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
        EngineState, //
        LockedState,
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

/// Stops work on a request.
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

/// Takes an order, or refuses it for its old fencing number.
pub(crate) async fn handle_order(state: &EngineState, body: &Bytes) -> StandinReply {
    let Ok(order) = serde_json::from_slice::<OrderWire>(body) else {
        return Ok(malformed_reply());
    };
    let faults = state.standin.next_faults();
    let checks = state.settings.checks_fencing && !faults.ignore_fencing;
    if let Err(highest) = record_order(state, &order, checks) {
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

/// Writes an order down; the highest fencing number where its own is older and that is checked.
fn record_order(state: &EngineState, order: &OrderWire, checks: bool) -> Result<(), FenceNumber> {
    let mut locked = state.lock();
    let accepted = !checks || order.fence >= locked.highest_fence;
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

/// Does what an order asks; an order that comes again changes nothing.
fn apply_order(locked: &mut LockedState, kind: OrderKind) {
    match kind {
        OrderKind::Load { offer } => load(locked, offer),
        OrderKind::Unload { offer } => unload(locked, &offer),
        OrderKind::SetRole { role } => locked.role = role,
        OrderKind::SetDrain { drain } => locked.drain = drain,
    }
}

fn load(locked: &mut LockedState, wanted: ModelOffer) {
    let Some(offer) = locked.offers.iter_mut().find(|offer| same(offer, &wanted)) else {
        return locked.offers.push(wanted);
    };
    for adapter in wanted.adapters {
        if !offer.adapters.contains(&adapter) {
            offer.adapters.push(adapter);
        }
    }
}

fn unload(locked: &mut LockedState, unwanted: &ModelOffer) {
    if unwanted.adapters.is_empty() {
        return locked.offers.retain(|offer| !same(offer, unwanted));
    }
    for offer in locked.offers.iter_mut() {
        if same(offer, unwanted) {
            let adapters = &unwanted.adapters;
            offer.adapters.retain(|name| !adapters.contains(name));
        }
    }
}

/// Whether two offers are of one version of one model.
fn same(left: &ModelOffer, right: &ModelOffer) -> bool {
    left.model == right.model && left.version == right.version
}

/// Everything in the prefix cache.
pub(crate) fn export_cache(state: &EngineState) -> Response<StandinBody> {
    let prefixes = state.lock().cache.export();
    json_reply(200, "", &json!({"prefixes": prefixes}))
}

/// The body of `POST /v1/cache`.
#[derive(Deserialize)]
struct ImportWire {
    prefixes: Vec<PrefixKey>,
}

/// Takes over another engine's prefixes.
pub(crate) fn import_cache(state: &EngineState, body: &[u8]) -> Response<StandinBody> {
    let Ok(import) = serde_json::from_slice::<ImportWire>(body) else {
        return malformed_reply();
    };
    // Stored last to first, so that the order of use is the exporter's.
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
