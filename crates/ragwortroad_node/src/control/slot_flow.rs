//! Requests for slots from other nodes, grants to them, and the distribution of customers' limit
//! shares.

use std::time::Duration;

use ragwortroad_routing::prelude::*;
use ragwortroad_transport::prelude::*;
use ragwortroad_types::prelude::*;

use crate::{
    control::control_state::ControlState,
    request::{
        pending_attempt::PendingAttempt,
        ticket_table::HeldSlot,
        wait_table::SlotWait, //
    },
    slot::{
        grant_table::{
            GrantRecord,
            GrantStatus, //
        },
        release_queue::PendingRelease, //
    },
    wire::{
        message_codec::{
            decode,
            encode, //
        },
        slot_message::{
            SlotMessage,
            SlotVerdict, //
        }, //
    },
};

/// Retry delay for a requester whose `Ask` arrived after its own `Release`.
const RELEASED_RETRY_AFTER: Duration = Duration::from_millis(100);

impl ControlState {
    /// Handles a message about slots or limit shares.
    pub(crate) fn handle_slots(&mut self, from: NodeId, bytes: &[u8], now: ClockTime) {
        let Some(message) = decode::<SlotMessage>(bytes) else {
            return;
        };
        self.route.mark_responsive(from);
        match message {
            SlotMessage::Ask {
                question,
                endpoint,
                customer,
                claim,
                request,
                run,
            } => {
                if self.grants.record_run(from, run) {
                    self.route.expire_node_slots(from, now);
                    self.grants.remove_node(from);
                }
                let customer = CustomerKey(customer);
                let class = claim.into();
                let answer = self.decide_ask((from, question), endpoint, (customer, class), now);
                let granted = answer == SlotVerdict::Granted;
                self.record_slot_event(from, request, endpoint, granted);
                self.send_slots(from, &SlotMessage::Answer { question, answer });
            }
            SlotMessage::Answer { question, answer } => {
                self.handle_slot_answer(from, question, answer, now);
            }
            SlotMessage::Release {
                question,
                endpoint: _,
                outcome,
            } => {
                if let Some(record) = self.grants.release(from, question, now) {
                    let outcome = outcome.into();
                    self.route
                        .release(record.endpoint, record.slot, outcome, now);
                }
                self.send_slots(from, &SlotMessage::Released { question });
            }
            SlotMessage::Released { question } => self.releases.confirm(from, question),
            SlotMessage::Demand(entries) => {
                let digest = demand_digest(entries);
                self.limiter.merge_demand(from, &digest, now);
            }
            SlotMessage::Crashes(reports) => self.crashes.merge(&reports, now),
            SlotMessage::WantCrashes => self.send_all_crashes(from, now),
            SlotMessage::Share(entries) => {
                let digest = share_digest(entries);
                self.limiter.merge_share(&digest, now);
            }
        }
    }

    /// Decides on an `Ask` as the home of its endpoint.
    fn decide_ask(
        &mut self,
        (requester, question): (NodeId, u64),
        endpoint: EndpointId,
        (customer, class): (CustomerKey, AdmissionClass),
        now: ClockTime,
    ) -> SlotVerdict {
        match self.grants.status(requester, question) {
            GrantStatus::Granted => return SlotVerdict::Granted,
            GrantStatus::Released => {
                let retry_after_ms = RELEASED_RETRY_AFTER.as_millis() as u32;
                return SlotVerdict::Full { retry_after_ms };
            }
            GrantStatus::New => {}
        }
        if self.draining || !self.membership.home_state(endpoint, now).admits_at(now) {
            let record = self.membership.endpoint(endpoint);
            let home = record.map(|record| record.home);
            let home = home.filter(|home| *home != self.node);
            return SlotVerdict::NotHome { home };
        }
        let answer = self
            .route
            .grant_slot(endpoint, requester, customer, class, now);
        if let SlotAnswer::Granted { slot } = answer {
            self.grants
                .grant(requester, question, GrantRecord { endpoint, slot });
        }
        answer.into()
    }

    /// Handles a home's answer to an `Ask` of this node.
    fn handle_slot_answer(
        &mut self,
        home: NodeId,
        question: u64,
        verdict: SlotVerdict,
        now: ClockTime,
    ) {
        let Some(wait) = self.waits.take(question, home) else {
            // The attempt was placed elsewhere in the meantime; its release is already sent.
            return;
        };
        let SlotWait {
            mut attempt,
            endpoint,
            ..
        } = wait;
        let answer = verdict.as_answer();
        self.route
            .record_answer(endpoint, answer, attempt.chat, now);
        if verdict == SlotVerdict::Granted {
            let slot = HeldSlot::Remote { home, question };
            return self.grant_attempt(attempt, endpoint, slot, now);
        }
        match verdict {
            SlotVerdict::NotHome { .. } => attempt.excluded.push(endpoint),
            SlotVerdict::Full { .. } => attempt.homes_full += 1,
            SlotVerdict::Granted => {}
        }
        self.place_attempt(attempt, now);
    }

    /// Asks a home for a slot.
    pub(crate) fn send_ask(
        &self,
        home: NodeId,
        question: u64,
        endpoint: EndpointId,
        class: AdmissionClass,
        attempt: &PendingAttempt,
    ) {
        let message = SlotMessage::Ask {
            question,
            endpoint,
            customer: attempt.customer_key.0,
            claim: class.into(),
            request: attempt.call.request,
            run: self.incarnation,
        };
        self.send_slots(home, &message);
    }

    /// Releases a slot at its home, and keeps the release for resending until the home confirms it.
    pub(crate) fn send_release(
        &mut self,
        home: NodeId,
        question: u64,
        endpoint: EndpointId,
        outcome: SlotOutcome,
        now: ClockTime,
    ) {
        let outcome = outcome.into();
        let release = PendingRelease {
            home,
            endpoint,
            outcome,
            last_sent: now,
        };
        self.releases.add(question, release);
        let message = SlotMessage::Release {
            question,
            endpoint,
            outcome,
        };
        self.send_slots(home, &message);
    }

    /// Resends releases that no home has confirmed.
    pub(crate) fn resend_releases(&mut self, now: ClockTime) {
        for (question, release) in self.releases.take_due(now) {
            let message = SlotMessage::Release {
                question,
                endpoint: release.endpoint,
                outcome: release.outcome,
            };
            self.send_slots(release.home, &message);
        }
    }

    /// Sends this node's demand to the coordinators of the customers' limits, and to the other
    /// nodes their shares of the limits that this node coordinates.
    pub(crate) fn send_shares(&mut self, now: ClockTime) {
        for (coordinator, digest) in self.limiter.demands(now) {
            let entries = digest.entries.iter();
            let entries = entries.map(|entry| {
                let requests = entry.requests_per_10_s;
                (entry.customer.0, requests, entry.concurrent)
            });
            self.send_slots(coordinator, &SlotMessage::Demand(entries.collect()));
        }
        for (node, digest) in self.limiter.shares(now) {
            if node == self.node {
                self.limiter.merge_share(&digest, now);
                continue;
            }
            let entries = digest.entries.iter();
            let entries =
                entries.map(|entry| (entry.customer.0, entry.rate_share, entry.concurrent));
            self.send_slots(node, &SlotMessage::Share(entries.collect()));
        }
    }

    pub(crate) fn send_slots(&self, to: NodeId, message: &SlotMessage) {
        self.send(to, PeerChannel::Slots, encode(message));
    }
}

fn demand_digest(entries: Vec<(u64, u16, u16)>) -> DemandDigest {
    let entries = entries.into_iter();
    let entry = |(customer, requests_per_10_s, concurrent)| DemandEntry {
        customer: CustomerKey(customer),
        requests_per_10_s,
        concurrent,
    };
    DemandDigest {
        entries: entries.map(entry).collect(),
    }
}

fn share_digest(entries: Vec<(u64, u16, u16)>) -> ShareDigest {
    let entries = entries.into_iter();
    let entry = |(customer, rate_share, concurrent)| ShareEntry {
        customer: CustomerKey(customer),
        rate_share,
        concurrent,
    };
    ShareDigest {
        entries: entries.map(entry).collect(),
    }
}
