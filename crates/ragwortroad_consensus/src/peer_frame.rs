use serde::{
    Deserialize,
    Serialize, //
};
use snafu::{
    ResultExt,
    Snafu,
    ensure, //
};

use crate::{
    MemberId,
    PeerMessage, //
};

/// A message with its two ends, as it goes over the wire.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct PeerFrame {
    /// Who says it.
    pub from: MemberId,
    /// Whom it is for: a new identity on the same node must not take what was for the old one.
    pub to: MemberId,
    /// The sender's start, so that messages of an earlier start of it can be told and dropped.
    pub start: u64,
    /// What is said.
    pub message: PeerMessage,
}

/// Largest encoded frame that is accepted.
pub const MAX_FRAME_BYTES: usize = 1 << 20;

/// Why bytes are no frame.
#[derive(Debug)]
#[derive(Snafu)]
pub enum FrameError {
    /// Too many bytes.
    #[snafu(display(
        "a frame of {bytes} bytes is over the limit of {MAX_FRAME_BYTES}; \
         check that both ends run the same version"
    ))]
    FrameTooLarge {
        /// How many.
        bytes: usize,
    },
    /// The bytes mean nothing.
    #[snafu(display("cannot decode a frame: {source}; check that both ends run the same version"))]
    Undecodable {
        /// What the codec said.
        source: postcard::Error,
    },
    /// Bytes follow the frame.
    #[snafu(display("{bytes} bytes follow a frame; check that both ends run the same version"))]
    TrailingBytes {
        /// How many.
        bytes: usize,
    },
}

impl PeerFrame {
    /// The frame as bytes.
    pub fn encode(&self) -> Result<Vec<u8>, FrameError> {
        postcard::to_stdvec(self).context(UndecodableSnafu)
    }

    /// The frame that `bytes` are.
    pub fn decode(bytes: &[u8]) -> Result<Self, FrameError> {
        let size = bytes.len();
        ensure!(size <= MAX_FRAME_BYTES, FrameTooLargeSnafu { bytes: size });
        let (frame, rest) = postcard::take_from_bytes(bytes).context(UndecodableSnafu)?;
        ensure!(rest.is_empty(), TrailingBytesSnafu { bytes: rest.len() });
        Ok(frame)
    }

    /// Bytes the frame takes on the wire.
    pub fn encoded_len(&self) -> usize {
        postcard::experimental::serialized_size(self).unwrap_or(0)
    }
}
