//! Which addresses a caller should use.

use std::time::Duration;

use ragwortroad_gateway::prelude::*;
use ragwortroad_routing::prelude::*;
use ragwortroad_types::prelude::*;

use crate::control::{
    admit_flow::AdmitRefusal,
    control_state::ControlState, //
};

/// Addresses in one answer.
const ADDRESS_COUNT: usize = 3;

/// How long a caller may keep an answer.
///
/// Longer answers save questions; shorter ones bring callers sooner to the home of a chat that
/// moved. A stale answer costs one message between nodes a request, never correctness.
const KEEP: Duration = Duration::from_secs(30);

impl ControlState {
    /// Answers a caller's question for addresses.
    pub(crate) fn addresses(
        &mut self,
        call: &AddressCall,
        now: ClockTime,
    ) -> Result<AddressResponse, RefusalWire> {
        let request = RequestId(self.draw());
        let Some((customer, _)) = self.follow.customer_of(call.key_hash) else {
            // A node that has no configuration yet knows no customer; others may.
            let refusal = match self.follow.guard.may_admit(now) {
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
            .addresses_for(chat, hint, request.0, ADDRESS_COUNT);
        let addresses: Vec<String> = nodes
            .iter()
            .filter_map(|node| self.caller_address(*node))
            .map(|address| address.to_string())
            .collect();
        if addresses.is_empty() {
            let message = "no node takes requests now";
            let refusal = AdmitRefusal::not_run(RefusalCode::NoEndpoint, message);
            return Err(self.refusal_wire(request, refusal.after(Duration::from_secs(1))));
        }
        let reason = match (hint, chat) {
            (Some(_), _) => "the first admits to the engine in the hint",
            (None, Some(_)) => "the chat's own nodes",
            (None, None) => "spread evenly; name a chat to reach its own nodes",
        };
        Ok(AddressResponse {
            addresses,
            keep_ms: KEEP.as_millis() as u64,
            reason: reason.to_owned(),
        })
    }

    /// Addresses of other nodes that take requests, for a refusal.
    pub(crate) fn other_addresses(&self) -> Vec<String> {
        let nodes = self.open_nodes();
        let others = nodes.into_iter().filter(|node| *node != self.node);
        let addresses = others.filter_map(|node| self.caller_address(node));
        addresses
            .take(ADDRESS_COUNT)
            .map(|address| address.to_string())
            .collect()
    }
}
