use std::collections::BTreeMap;

use ragwortroad_gateway::prelude::*;
use ragwortroad_routing::prelude::*;
use ragwortroad_types::prelude::*;

use crate::request::pending_attempt::HeldClaim;

/// Attempts in flight, by ticket.
#[derive(Debug, Default)]
pub(crate) struct TicketTable {
    next: u64,
    tickets: BTreeMap<TicketId, TicketRecord>,
}

/// An attempt in flight.
#[derive(Clone, Debug)]
pub(crate) struct TicketRecord {
    pub(crate) request: RequestId,
    /// The customer's key in the route table.
    pub(crate) customer: CustomerKey,
    pub(crate) customer_name: String,
    pub(crate) chat: Option<ChatKey>,
    pub(crate) endpoint: EndpointId,
    pub(crate) slot: HeldSlot,
    /// Content of the request.
    pub(crate) digest: RequestDigest,
    /// Tokens charged to the customer's limit.
    pub(crate) tokens: u32,
    /// Attempts of the request, this one included.
    pub(crate) attempts: u32,
    /// The claim that the attempt holds, if any.
    pub(crate) claim: Option<HeldClaim>,
}

/// A slot that an attempt holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum HeldSlot {
    /// Granted by this node.
    Local(SlotId),
    /// Granted by another node.
    Remote {
        /// The endpoint's home.
        home: NodeId,
        /// Number of the `Ask` message that the home granted.
        question: u64,
    },
}

impl TicketTable {
    /// Adds an attempt and returns its ticket.
    pub(crate) fn open(&mut self, record: TicketRecord) -> TicketId {
        self.next += 1;
        let ticket = TicketId(self.next);
        self.tickets.insert(ticket, record);
        ticket
    }

    /// Removes an attempt; `None` if it has already ended.
    pub(crate) fn close(&mut self, ticket: TicketId) -> Option<TicketRecord> {
        self.tickets.remove(&ticket)
    }

    /// Returns the number of attempts in flight.
    pub(crate) fn len(&self) -> usize {
        self.tickets.len()
    }
}
