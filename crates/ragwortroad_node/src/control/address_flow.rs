//! Selects the node addresses that a client should connect to.

use std::time::Duration;

use ragwortroad_gateway::prelude::*;
use ragwortroad_routing::prelude::*;
use ragwortroad_types::prelude::*;

use crate::control::{
    admit_flow::AdmitRefusal,
    control_state::ControlState, //
};

const MAX_ADDRESSES: usize = 3;

/// How long a client may cache the addresses.
///
/// A longer time saves lookups; a shorter one moves clients sooner when a chat gets another home. A
/// stale address costs one extra message between nodes for each request, but never correctness.
const ADDRESS_TTL: Duration = Duration::from_secs(30);

impl ControlState {
    /// Returns the addresses for a client, the preferred one first.
    pub(crate) fn addresses(
        &mut self,
        call: &AddressCall,
        now: ClockTime,
    ) -> Result<AddressResponse, RefusalWire> {
        let request = RequestId(self.next_random());
        let Some((customer, _)) = self.follower.customer_of(call.key_hash) else {
            // A node that has not received its configuration yet knows no customers; other nodes
            // may.
            let refusal = match self.follower.guard.may_admit(now) {
                Ok(()) => AdmitRefusal::not_run(RefusalCode::WrongKey, "no customer has this key"),
                Err(reason) => AdmitRefusal::not_run(RefusalCode::NotCurrent, reason.to_string()),
            };
            return Err(self.refusal_wire(request, refusal));
        };
        let customer_key = CustomerKey::from_name(customer);
        let chat = call.chat.as_deref();
        let chat = chat.map(|chat| ChatKey::from_parts(customer, chat));
        let hint = call.hint.as_deref();
        let hint = hint.and_then(|hint| self.hints.decode(customer_key, hint));
        let nodes = self
            .route
            .addresses_for(chat, hint, request.0, MAX_ADDRESSES);
        let addresses: Vec<String> = nodes
            .iter()
            .filter_map(|node| self.caller_address(*node))
            .map(|address| address.to_string())
            .collect();
        if addresses.is_empty() {
            let message = "no node takes requests now";
            let refusal = AdmitRefusal::not_run(RefusalCode::NoEndpoint, message);
            return Err(
                self.refusal_wire(request, refusal.with_retry_after(Duration::from_secs(1)))
            );
        }
        let reason = match (hint, chat) {
            (Some(_), _) => "the first admits to the engine in the hint",
            (None, Some(_)) => "the chat's own nodes",
            (None, None) => "spread evenly; name a chat to reach its own nodes",
        };
        Ok(AddressResponse {
            addresses,
            keep_ms: ADDRESS_TTL.as_millis() as u64,
            reason: reason.to_owned(),
        })
    }

    /// Returns the addresses of other nodes that take requests, to be sent with a refusal.
    pub(crate) fn other_addresses(&self) -> Vec<String> {
        let nodes = self.available_nodes();
        let others = nodes.into_iter().filter(|node| *node != self.node);
        let addresses = others.filter_map(|node| self.caller_address(node));
        addresses
            .take(MAX_ADDRESSES)
            .map(|address| address.to_string())
            .collect()
    }
}
