use ragwortroad_types::prelude::*;
use serde::{
    Deserialize,
    Serialize,
    Serializer, //
};

use crate::ClaimKey;

/// One node's attempt to run the request of a key.
///
/// A node generates a new request identity for every request it accepts, so an attempt identifies
/// the one process run that may send the request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct ClaimAttempt {
    /// The node that sends the request.
    pub node: NodeId,
    /// The request's identity on that node.
    pub request: RequestId,
}

/// One step on the claim of a key. Nodes send steps to the leader, which batches them into the log.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum ClaimStep {
    /// Requests the claim for an attempt. The node sends nothing to the service until the claim is
    /// granted.
    Claim {
        /// The claimed key.
        key: ClaimKey,
        /// The first 16 bytes of the hash of the request's body.
        body: [u8; 16],
        /// The attempt that requests the claim.
        attempt: ClaimAttempt,
    },
    /// Reports the result of an attempt that is over.
    Finish {
        /// The claimed key.
        key: ClaimKey,
        /// The attempt that is over.
        attempt: ClaimAttempt,
        /// The result of the attempt.
        result: ClaimResult,
    },
    /// Releases the key: no byte of the attempt was sent and none will be, so the key may run
    /// again.
    ///
    /// A node also sends this when the outcome of a claim did not arrive in time. The release may
    /// then overtake the claim, which is refused when it arrives.
    Release {
        /// The claimed key.
        key: ClaimKey,
        /// The first 16 bytes of the hash of the request's body.
        body: [u8; 16],
        /// The released attempt.
        attempt: ClaimAttempt,
    },
    /// Declares a node lost: its claims are unknown until it reports otherwise.
    NodeLost {
        /// The lost node.
        node: NodeId,
    },
}

/// The result of an attempt whose first byte was sent.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum ClaimResult {
    /// The attempt ran and got this response.
    Answered(ClaimAnswer),
    /// The attempt ran; the response is too large to be kept.
    Ran {
        /// The HTTP status of the response.
        status: u16,
    },
    /// The attempt may have run.
    Unknown,
}

/// A recorded response.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ClaimAnswer {
    /// The HTTP status of the response.
    pub status: u16,
    /// The value of the Content-Type header.
    pub content_type: String,
    /// The complete body.
    #[serde(serialize_with = "serialize_body")]
    pub body: Vec<u8>,
}

/// Serializes the body as one byte string; element by element it would take most of the time of
/// writing a snapshot.
fn serialize_body<S: Serializer>(body: &[u8], serializer: S) -> Result<S::Ok, S::Error> {
    serializer.serialize_bytes(body)
}

impl ClaimAnswer {
    /// The number of bytes that count against the budget.
    pub(crate) fn length(&self) -> usize {
        self.content_type.len() + self.body.len()
    }
}
