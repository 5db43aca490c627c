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

/// Part of its equal part of a nearly full endpoint up to which a customer may begin chats there; the
/// rest is for those that come back.
const ARRIVING_FAIR_SHARE: f64 = 0.5;

/// Slots of endpoints: granted and ended at the home, noted at the node that asked.
impl RouteTable {
    /// The home's answer to a node that wants to send to `endpoint`.
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

    /// About the time until the endpoint has capacity again.
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

    /// Gives a slot back at the endpoint's home, whoever had asked for it.
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

    /// Notes at the asking node what the home said to its question.
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

    /// Notes how a request of this node ended at an endpoint whose home is elsewhere.
    pub fn observe_outcome(&mut self, endpoint: EndpointId, outcome: SlotOutcome, now: ClockTime) {
        if let Some(key) = self.ids.get(&endpoint).copied() {
            self.change(key, |state| state.view.ended_since += 1);
        }
        self.update_outliers(endpoint, outcome, now);
    }

    /// Takes in whether an endpoint did what it was asked.
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

    /// Grants a slot of an endpoint this node is home of, within the bound and the fair share.
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
        // Before that moment an earlier home may still admit up to the bound on its held.
        if !state.is_exclusive(now) || !state.facts.takes_work() {
            return false;
        }
        let load = state.ledger.load();
        let limit = self.load_limit(state, now);
        if load >= limit {
            return false;
        }
        // While another customer gets nothing anywhere, shares are parts of what may be admitted
        // now; of an engine's whole capacity, which the bound seldom lets it reach, they would never be
        // used up. At other times that would only send chats away from their context.
        let capacity = match state.ledger.has_other_starved(customer, now) {
            true => f64::from(limit),
            false => f64::from(self.capacity_limit(state)),
        };
        // Counted with the slot asked for: at small bounds the reserve would round to nothing.
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
