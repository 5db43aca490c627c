use std::collections::BTreeMap;

use ragwortroad_gateway::prelude::*;
use ragwortroad_routing::prelude::*;
use ragwortroad_types::prelude::*;

use crate::request::pending_attempt::HeldClaim;

/// Attempts under way, by their tickets.
#[derive(Debug, Default)]
pub(crate) struct TicketTable {
    next: u64,
    tickets: BTreeMap<TicketId, TicketRecord>,
}

/// One attempt under way.
#[derive(Clone, Debug)]
pub(crate) struct TicketRecord {
    /// The request.
    pub(crate) request: RequestId,
    /// The customer in the route table.
    pub(crate) customer: CustomerKey,
    /// The customer's name.
    pub(crate) customer_name: String,
    /// The chat.
    pub(crate) chat: Option<ChatKey>,
    /// The endpoint.
    pub(crate) endpoint: EndpointId,
    /// Who granted the slot.
    pub(crate) slot: HeldSlot,
    /// Tokens charged to the customer's limit.
    pub(crate) tokens: u32,
    /// Attempts of the request, this one included.
    pub(crate) attempts: u32,
    /// The claim.
    pub(crate) claim: Option<HeldClaim>,
}

/// The slot an attempt holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum HeldSlot {
    /// Granted here.
    Local(SlotId),
    /// Granted by another node.
    Remote {
        /// The home.
        home: NodeId,
        /// The question it was granted for.
        question: u64,
    },
}

impl TicketTable {
    /// Adds an attempt.
    pub(crate) fn open(&mut self, record: TicketRecord) -> TicketId {
        self.next += 1;
        let ticket = TicketId(self.next);
        self.tickets.insert(ticket, record);
        ticket
    }

    /// Ends an attempt; nothing where it has ended before.
    pub(crate) fn close(&mut self, ticket: TicketId) -> Option<TicketRecord> {
        self.tickets.remove(&ticket)
    }

    /// Attempts under way.
    pub(crate) fn len(&self) -> usize {
        self.tickets.len()
    }
}
