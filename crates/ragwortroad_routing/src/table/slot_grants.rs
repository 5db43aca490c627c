use std::time::Duration;

use ragwortroad_types::{
    ChatKey,
    ClockTime,
    EndpointId,
    NodeId, //
};

use crate::{
    AdmissionClass,
    CustomerKey,
    EndpointKey,
    RouteTable,
    SlotAnswer,
    SlotId,
    SlotOutcome,
    table::endpoint_state::EndpointState, //
};

/// Fraction of its equal share of a nearly full endpoint up to which a customer may start new chats
/// there; the rest is for chats that return.
const ARRIVING_FAIR_SHARE: f64 = 0.5;

/// Slots of endpoints: granted and released at the home, recorded at the node that asked.
impl RouteTable {
    /// Answers, as the home, a node that wants to send a request to `endpoint`.
    pub fn grant_slot(
        &mut self,
        endpoint: EndpointId,
        requester: NodeId,
        customer: CustomerKey,
        class: AdmissionClass,
        now: ClockTime,
    ) -> SlotAnswer {
        let Some(key) = self.ids.get(&endpoint).copied() else {
            return SlotAnswer::NotHome { home: None };
        };
        let home = self.state_of(endpoint).map(|state| state.facts.home);
        if home != Some(self.settings.node) {
            return SlotAnswer::NotHome { home };
        }
        match self.take_slot(key, requester, customer, class, now) {
            Some(slot) => SlotAnswer::Granted { slot },
            None => SlotAnswer::Full {
                retry_after: self.retry_delay(key, now),
            },
        }
    }

    /// Returns about the time until the endpoint has capacity again.
    fn retry_delay(&self, key: EndpointKey, now: ClockTime) -> Duration {
        let settings = &self.settings;
        let Some(state) = self.arena[key.index()].as_ref() else {
            return settings.full_backoff;
        };
        if !state.is_exclusive(now) {
            return settings.full_backoff;
        }
        let between_ends = state.ledger.mean_time_between_ends();
        between_ends.clamp(
            settings.hold_interval,
            settings.full_backoff.max(settings.hold_interval),
        )
    }

    /// Releases a slot at the endpoint's home, whichever node asked for it.
    pub fn release(
        &mut self,
        endpoint: EndpointId,
        slot: SlotId,
        outcome: SlotOutcome,
        now: ClockTime,
    ) {
        let ttl = self.settings.failed_slot_ttl;
        self.update_outliers(endpoint, outcome, now);
        let Some(key) = self.ids.get(&endpoint).copied() else {
            return;
        };
        self.change(key, |state| match outcome {
            SlotOutcome::Failed => state.ledger.expire_within(slot, now, ttl),
            SlotOutcome::Succeeded | SlotOutcome::Neutral => state.ledger.end(slot, now),
        });
    }

    /// Records, at the node that asked, the home's answer.
    pub fn record_answer(
        &mut self,
        endpoint: EndpointId,
        answer: SlotAnswer,
        chat: Option<ChatKey>,
        now: ClockTime,
    ) {
        let Some(key) = self.ids.get(&endpoint).copied() else {
            return;
        };
        let backoff = self.settings.full_backoff;
        self.change(key, |state| match answer {
            SlotAnswer::Granted { .. } => state.view.sent_since += 1,
            SlotAnswer::Full { retry_after } => state.view.observe_full(now.after(retry_after)),
            SlotAnswer::NotHome { .. } => state.view.full_until = now.after(backoff),
        });
        if let (SlotAnswer::Granted { .. }, Some(chat)) = (answer, chat) {
            self.chat_map.put(chat.0, endpoint.0, now);
        }
    }

    /// Records how a request of this node ended at an endpoint whose home is another node.
    pub fn observe_outcome(&mut self, endpoint: EndpointId, outcome: SlotOutcome, now: ClockTime) {
        if let Some(key) = self.ids.get(&endpoint).copied() {
            self.change(key, |state| state.view.ended_since += 1);
        }
        self.update_outliers(endpoint, outcome, now);
    }

    /// Records the outcome of a request for outlier detection.
    fn update_outliers(&mut self, endpoint: EndpointId, outcome: SlotOutcome, now: ClockTime) {
        let Some(state) = self.state_of(endpoint) else {
            return;
        };
        let fleet = state.facts.fleet;
        let members = self
            .arena
            .iter()
            .flatten()
            .filter(|state| state.facts.fleet == fleet);
        match outcome {
            SlotOutcome::Neutral => {}
            SlotOutcome::Succeeded => self.outliers.record_success(endpoint, now),
            SlotOutcome::Failed => {
                let (mut count, mut ejected) = (0, 0);
                for member in members {
                    count += 1;
                    let id = member.facts.id;
                    ejected +=
                        usize::from(member.ejected_by_home || self.outliers.is_ejected(id, now));
                }
                self.outliers.record_failure(endpoint, ejected, count, now);
            }
        }
    }

    /// Grants a slot of an endpoint whose home is this node, within the bound and the fair share.
    pub(crate) fn take_slot(
        &mut self,
        key: EndpointKey,
        requester: NodeId,
        customer: CustomerKey,
        class: AdmissionClass,
        now: ClockTime,
    ) -> Option<SlotId> {
        self.change(key, |state| state.ledger.sweep(now));
        let state = self.arena[key.index()].as_ref()?;
        let admits = self.may_admit(state, customer, class, now);
        if class == AdmissionClass::Starved {
            self.change(key, |state| state.ledger.record_starved(customer, now));
        }
        if !admits {
            return None;
        }
        let slot = SlotId(self.next_slot);
        self.next_slot += 1;
        let ttl = self.settings.slot_ttl;
        self.change(key, |state| {
            state.ledger.grant(slot, requester, customer, now, ttl);
        });
        Some(slot)
    }

    fn may_admit(
        &self,
        state: &EndpointState,
        customer: CustomerKey,
        class: AdmissionClass,
        now: ClockTime,
    ) -> bool {
        // Before `exclusive_from` an earlier home may still admit requests up to the bound by
        // itself.
        if !state.is_exclusive(now) || !state.facts.takes_work() {
            return false;
        }
        let load = state.ledger.load();
        let limit = self.load_limit(state, now);
        if load >= limit {
            return false;
        }
        // While another customer is starved, shares are fractions of what may be admitted now.
        // Fractions of the engine's whole capacity, which the bound seldom lets it reach, would
        // never be used up. At other times, such smaller shares would only send chats away from
        // their context.
        let capacity = match state.ledger.has_other_starved(customer, now) {
            true => f64::from(limit),
            false => f64::from(self.capacity_limit(state)),
        };
        // Includes the slot asked for: at small bounds the reserve would otherwise round to zero.
        if f64::from(load + 1) <= capacity * (1.0 - self.settings.fair_reserve) {
            return true;
        }
        let (held, customers) = state.ledger.share_of(customer, now);
        let share = match class {
            AdmissionClass::Returning | AdmissionClass::Starved => 1.0,
            AdmissionClass::Arriving => ARRIVING_FAIR_SHARE,
        };
        f64::from(held) < share * capacity / f64::from(customers)
    }
}
