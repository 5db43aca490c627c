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
        AttemptName,
        EngineParts,
        EngineState, //
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
pub(crate) fn answer_cancel(state: &EngineState, body: &[u8]) -> Response<StandinBody> {
    let Ok(cancel) = serde_json::from_slice::<CancelWire>(body) else {
        return malformed();
    };
    let name = AttemptName {
        request_id: cancel.request_id.clone(),
        attempt: cancel.attempt,
    };
    let notify = {
        let mut parts = state.parts();
        parts.told.push(cancel.request_id.clone());
        parts.cancels.remove(&name)
    };
    let found = notify.is_some();
    if let Some(notify) = notify {
        notify.notify_one();
    }
    json_reply(200, &cancel.request_id, &json!({"cancelled": found}))
}

/// Takes an order, or refuses it for its old fencing number.
pub(crate) async fn answer_order(state: &EngineState, body: &Bytes) -> StandinReply {
    let Ok(order) = serde_json::from_slice::<OrderWire>(body) else {
        return Ok(malformed());
    };
    let faults = state.shell.next_faults();
    let checks = state.settings.checks_fencing && !faults.ignore_fencing;
    if let Err(highest) = take_order(state, &order, checks) {
        let error = json!({"error": "old fencing number", "highest": highest});
        return Ok(json_reply(409, "", &error));
    }
    if !faults.acknowledge_only {
        if matches!(order.kind, OrderKind::Load { .. }) {
            sleep(state.settings.model_load_time).await;
        }
        carry_out(&mut state.parts(), order.kind);
    }
    sleep(faults.order_response_delay).await;
    Ok(json_reply(200, "", &json!({"done": true})))
}

/// Writes an order down; the highest fencing number where its own is older and that is checked.
fn take_order(state: &EngineState, order: &OrderWire, checks: bool) -> Result<(), FenceNumber> {
    let mut parts = state.parts();
    let accepted = !checks || order.fence >= parts.fence;
    parts.orders.push(OrderRecord {
        endpoint: state.settings.name.clone(),
        order: order.clone(),
        accepted,
        received_at: Instant::now(),
    });
    if !accepted {
        return Err(parts.fence);
    }
    parts.fence = parts.fence.max(order.fence);
    Ok(())
}

/// Does what an order asks; an order that comes again changes nothing.
fn carry_out(parts: &mut EngineParts, kind: OrderKind) {
    match kind {
        OrderKind::Load { offer } => load(parts, offer),
        OrderKind::Unload { offer } => unload(parts, &offer),
        OrderKind::SetRole { role } => parts.role = role,
        OrderKind::SetDrain { drain } => parts.drain = drain,
    }
}

fn load(parts: &mut EngineParts, wanted: ModelOffer) {
    let Some(offer) = parts.offers.iter_mut().find(|offer| same(offer, &wanted)) else {
        return parts.offers.push(wanted);
    };
    for adapter in wanted.adapters {
        if !offer.adapters.contains(&adapter) {
            offer.adapters.push(adapter);
        }
    }
}

fn unload(parts: &mut EngineParts, unwanted: &ModelOffer) {
    if unwanted.adapters.is_empty() {
        return parts.offers.retain(|offer| !same(offer, unwanted));
    }
    for offer in parts.offers.iter_mut() {
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
pub(crate) fn answer_export(state: &EngineState) -> Response<StandinBody> {
    let prefixes = state.parts().cache.export();
    json_reply(200, "", &json!({"prefixes": prefixes}))
}

/// The body of `POST /v1/cache`.
#[derive(Deserialize)]
struct ImportWire {
    prefixes: Vec<PrefixKey>,
}

/// Takes over another engine's prefixes.
pub(crate) fn answer_import(state: &EngineState, body: &[u8]) -> Response<StandinBody> {
    let Ok(import) = serde_json::from_slice::<ImportWire>(body) else {
        return malformed();
    };
    // Stored last to first, so that the order of use is the exporter's.
    let newest_first: Vec<PrefixKey> = import.prefixes.iter().rev().copied().collect();
    state.parts().cache.store(&newest_first);
    json_reply(200, "", &json!({"imported": newest_first.len()}))
}

fn malformed() -> Response<StandinBody> {
    json_reply(
        400,
        "",
        &json!({"error": "the body is not what this path takes"}),
    )
}
