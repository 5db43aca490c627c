use crate::WorkloadSpec;

/// Bytes that routing decisions send over the network, by kind.
///
/// Slot requests, answers, releases, demands and shares are counted message by message. The size of
/// the load digests is computed; the bytes that membership sends are measured there.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct ControlBytes {
    pub(crate) slots: u64,
    pub(crate) limits: u64,
    pub(crate) digests: u64,
}

/// IP and UDP headers, a short QUIC header, its authentication tag, and a frame header.
const PACKET_OVERHEAD_BYTES: u64 = 60;
/// Endpoint, request and customer in a slot request.
const SLOT_REQUEST_BYTES: u64 = PACKET_OVERHEAD_BYTES + 24;
/// Request and slot, or request and wait, in the answer to a slot request.
const SLOT_ANSWER_BYTES: u64 = PACKET_OVERHEAD_BYTES + 14;
/// Endpoint, slot and outcome in a release.
const RELEASE_BYTES: u64 = PACKET_OVERHEAD_BYTES + 17;
/// The entry of one customer in a demand or share digest.
const CUSTOMER_ENTRY_BYTES: u64 = 12;
/// The entry of one engine in a load digest.
const ENGINE_ENTRY_BYTES: u64 = 4;
/// Largest fleet in which every node sends digests to every other; in larger fleets nodes forward
/// them by gossip.
const MAX_FULL_MESH_NODES: u64 = 16;
/// Number of nodes to which a node forwards a digest.
const GOSSIP_FANOUT: u64 = 3;

impl ControlBytes {
    /// Counts a slot request.
    pub(crate) fn add_slot_request(&mut self) {
        self.slots += SLOT_REQUEST_BYTES;
    }

    /// Counts the answer to a slot request.
    pub(crate) fn add_slot_answer(&mut self) {
        self.slots += SLOT_ANSWER_BYTES;
    }

    /// Counts the release of a slot.
    pub(crate) fn add_release(&mut self) {
        self.slots += RELEASE_BYTES;
    }

    /// Counts a demand or share digest with `entries` customers.
    pub(crate) fn add_limit_digest(&mut self, entries: usize) {
        self.limits += PACKET_OVERHEAD_BYTES + CUSTOMER_ENTRY_BYTES * entries as u64;
    }

    /// Counts one round of load digests among all nodes.
    pub(crate) fn add_digest_round(&mut self, spec: &WorkloadSpec) {
        let (nodes, engines) = (spec.nodes as u64, spec.engines as u64);
        self.digests += if nodes <= MAX_FULL_MESH_NODES {
            (nodes - 1) * (nodes * PACKET_OVERHEAD_BYTES + engines * ENGINE_ENTRY_BYTES)
        } else {
            nodes * (GOSSIP_FANOUT * PACKET_OVERHEAD_BYTES + engines * ENGINE_ENTRY_BYTES)
        };
    }
}
