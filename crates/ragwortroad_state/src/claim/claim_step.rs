use ragwortroad_types::prelude::*;
use serde::{
    Deserialize,
    Serialize,
    Serializer, //
};

use crate::ClaimKey;

/// One node's attempt to run the request of a key.
///
/// A node draws a new request identity for every request it takes in, so that an attempt names the
/// one process run that may send the request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct ClaimAttempt {
    /// The node that sends the request.
    pub node: NodeId,
    /// The request's identity there.
    pub request: RequestId,
}

/// One step on the claim of a key. Nodes send them, the leader batches them into the log.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum ClaimStep {
    /// May this attempt run? The node sends nothing before it has seen this granted.
    Claim {
        /// The key.
        key: ClaimKey,
        /// Half of the request's body hash.
        body: [u8; 16],
        /// Who wants to run it.
        attempt: ClaimAttempt,
    },
    /// The attempt is over.
    Finish {
        /// The key.
        key: ClaimKey,
        /// Who ran it.
        attempt: ClaimAttempt,
        /// What came of it.
        result: ClaimResult,
    },
    /// Not one byte of the attempt was sent, and none will be: the key may run again.
    ///
    /// Also sent when the answer to a claim did not come in time. It then may overtake the claim,
    /// which is refused when it arrives.
    Release {
        /// The key.
        key: ClaimKey,
        /// Half of the request's body hash.
        body: [u8; 16],
        /// Who gave up.
        attempt: ClaimAttempt,
    },
    /// The node is gone: what it had claimed is unknown until it says otherwise.
    NodeLost {
        /// The node.
        node: NodeId,
    },
}

/// What came of an attempt whose first byte was sent.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum ClaimResult {
    /// It ran, with this whole answer.
    Answered(ClaimAnswer),
    /// It ran; the answer is too large to be kept.
    Ran {
        /// HTTP status.
        status: u16,
    },
    /// It may have run.
    Unknown,
}

/// A recorded answer.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ClaimAnswer {
    /// HTTP status.
    pub status: u16,
    /// The Content-Type header.
    pub content_type: String,
    /// The whole body.
    #[serde(serialize_with = "serialize_body")]
    pub body: Vec<u8>,
}

/// Writes the body in one piece; byte by byte it would make up most of a snapshot's time.
fn serialize_body<S: Serializer>(body: &[u8], serializer: S) -> Result<S::Ok, S::Error> {
    serializer.serialize_bytes(body)
}

impl ClaimAnswer {
    /// Bytes it is counted with.
    pub(crate) fn length(&self) -> usize {
        self.content_type.len() + self.body.len()
    }
}
