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
const PACKET_BYTES: u64 = 60;
/// Endpoint, request and customer in a question for a slot.
const ASK_BYTES: u64 = PACKET_BYTES + 24;
/// Request, slot or wait in its answer.
const ANSWER_BYTES: u64 = PACKET_BYTES + 14;
/// Endpoint, slot and outcome in a release.
const RELEASE_BYTES: u64 = PACKET_BYTES + 17;
/// One customer in a demand or share digest.
const CUSTOMER_BYTES: u64 = 12;
/// One engine in a load digest.
const ENGINE_BYTES: u64 = 4;
/// Up to so many nodes each tells every other; beyond, digests are passed on.
const FULL_MESH: u64 = 16;
/// Nodes to which a digest is passed on.
const FAN_OUT: u64 = 3;

impl ControlBytes {
    /// A question.
    pub(crate) fn ask(&mut self) {
        self.slots += ASK_BYTES;
    }

    /// An answer.
    pub(crate) fn answer(&mut self) {
        self.slots += ANSWER_BYTES;
    }

    /// A release.
    pub(crate) fn release(&mut self) {
        self.slots += RELEASE_BYTES;
    }

    /// A demand or share digest.
    pub(crate) fn limit(&mut self, entries: usize) {
        self.limits += PACKET_BYTES + CUSTOMER_BYTES * entries as u64;
    }

    /// One round of load digests among all nodes.
    pub(crate) fn round(&mut self, spec: &WorkloadSpec) {
        let (nodes, engines) = (spec.nodes as u64, spec.engines as u64);
        self.digests += if nodes <= FULL_MESH {
            (nodes - 1) * (nodes * PACKET_BYTES + engines * ENGINE_BYTES)
        } else {
            nodes * (FAN_OUT * PACKET_BYTES + engines * ENGINE_BYTES)
        };
    }
}
