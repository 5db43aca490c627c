//! What a stand-in engine does besides answering chats.

use bytes::Bytes;
use hyper::Response;
use ragwortroad_types::prelude::*;
use serde::Deserialize;
use serde_json::json;
use tokio::time::sleep;

use crate::{
    OrderAction,
    OrderWire,
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
    let checks = state.settings.checks_fencing && !state.shell.next_faults().ignore_fencing;
    {
        let mut parts = state.parts();
        if checks && order.fence < parts.fence {
            let error = json!({"error": "old fencing number", "highest": parts.fence});
            return Ok(json_reply(409, "", &error));
        }
        parts.fence = parts.fence.max(order.fence);
    }
    if order.action == OrderAction::Load {
        sleep(state.settings.load_time).await;
    }
    carry_out(&mut state.parts(), order);
    Ok(json_reply(200, "", &json!({"done": true})))
}

/// Does what an order asks; an order that comes again changes nothing.
fn carry_out(parts: &mut EngineParts, order: OrderWire) {
    let wanted = &order.offer;
    let same = |offer: &ModelOffer| offer.model == wanted.model && offer.version == wanted.version;
    match order.action {
        OrderAction::Unload => parts.offers.retain(|offer| !same(offer)),
        OrderAction::Load => match parts.offers.iter_mut().find(|offer| same(offer)) {
            Some(offer) => {
                for adapter in &wanted.adapters {
                    if !offer.adapters.contains(adapter) {
                        offer.adapters.push(adapter.clone());
                    }
                }
            }
            None => parts.offers.push(order.offer),
        },
    }
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
