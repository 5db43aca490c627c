use crate::WorkloadSpec;

/// Bytes that a node's decisions cost on the wire, by kind.
///
/// Questions, answers, releases, demands and shares are counted message by message. The digests'
/// cost is worked out: what membership sends is measured there.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct ControlBytes {
    pub(crate) slots: u64,
    pub(crate) limits: u64,
    pub(crate) digests: u64,
}

/// IP and UDP headers, a short QUIC header and its authentication tag, and a frame's head.
const PACKET_OVERHEAD_BYTES: u64 = 60;
/// Endpoint, request and customer in a question for a slot.
const SLOT_REQUEST_BYTES: u64 = PACKET_OVERHEAD_BYTES + 24;
/// Request, slot or wait in its answer.
const SLOT_ANSWER_BYTES: u64 = PACKET_OVERHEAD_BYTES + 14;
/// Endpoint, slot and outcome in a release.
const RELEASE_BYTES: u64 = PACKET_OVERHEAD_BYTES + 17;
/// One customer in a demand or share digest.
const CUSTOMER_ENTRY_BYTES: u64 = 12;
/// One engine in a load digest.
const ENGINE_ENTRY_BYTES: u64 = 4;
/// Up to so many nodes each tells every other; beyond, digests are passed on.
const MAX_FULL_MESH_NODES: u64 = 16;
/// Nodes to which a digest is passed on.
const GOSSIP_FANOUT: u64 = 3;

impl ControlBytes {
    /// A question.
    pub(crate) fn add_slot_request(&mut self) {
        self.slots += SLOT_REQUEST_BYTES;
    }

    /// An answer.
    pub(crate) fn add_slot_answer(&mut self) {
        self.slots += SLOT_ANSWER_BYTES;
    }

    /// A release.
    pub(crate) fn add_release(&mut self) {
        self.slots += RELEASE_BYTES;
    }

    /// A demand or share digest.
    pub(crate) fn add_limit_digest(&mut self, entries: usize) {
        self.limits += PACKET_OVERHEAD_BYTES + CUSTOMER_ENTRY_BYTES * entries as u64;
    }

    /// One round of load digests among all nodes.
    pub(crate) fn add_digest_round(&mut self, spec: &WorkloadSpec) {
        let (nodes, engines) = (spec.nodes as u64, spec.engines as u64);
        self.digests += if nodes <= MAX_FULL_MESH_NODES {
            (nodes - 1) * (nodes * PACKET_OVERHEAD_BYTES + engines * ENGINE_ENTRY_BYTES)
        } else {
            nodes * (GOSSIP_FANOUT * PACKET_OVERHEAD_BYTES + engines * ENGINE_ENTRY_BYTES)
        };
    }
}
