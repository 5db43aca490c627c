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

/// A message with its sender and receiver, as encoded on the wire.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct PeerFrame {
    /// The sender.
    pub from: MemberId,
    /// The receiver: a new identity on the same node must not process messages for the old one.
    pub to: MemberId,
    /// The sender's start number, by which messages from before its latest restart are recognized
    /// and dropped.
    pub start: u64,
    /// The message itself.
    pub message: PeerMessage,
}

/// Largest encoded frame that is accepted, in bytes.
pub const MAX_FRAME_BYTES: usize = 1 << 20;

/// The reason why a frame cannot be encoded or decoded.
#[derive(Debug)]
#[derive(Snafu)]
pub enum FrameError {
    /// The frame exceeds [`MAX_FRAME_BYTES`].
    #[snafu(display(
        "a frame of {bytes} bytes exceeds the limit of {MAX_FRAME_BYTES}; \
         check that both ends run the same version"
    ))]
    FrameTooLarge {
        /// Size of the frame.
        bytes: usize,
    },
    /// The bytes are not an encoded frame.
    #[snafu(display("cannot decode a frame: {source}; check that both ends run the same version"))]
    Undecodable {
        /// The error of the codec.
        source: postcard::Error,
    },
    /// Bytes follow the frame.
    #[snafu(display("{bytes} bytes follow a frame; check that both ends run the same version"))]
    TrailingBytes {
        /// Number of trailing bytes.
        bytes: usize,
    },
}

impl PeerFrame {
    /// Encodes the frame.
    ///
    /// # Errors
    ///
    /// Fails with the error of the codec.
    pub fn encode(&self) -> Result<Vec<u8>, FrameError> {
        postcard::to_stdvec(self).context(UndecodableSnafu)
    }

    /// Decodes a frame that takes up all of `bytes`.
    ///
    /// # Errors
    ///
    /// Fails if the bytes are too many, are no frame, or go on behind it.
    pub fn decode(bytes: &[u8]) -> Result<Self, FrameError> {
        let size = bytes.len();
        ensure!(size <= MAX_FRAME_BYTES, FrameTooLargeSnafu { bytes: size });
        let (frame, rest) = postcard::take_from_bytes(bytes).context(UndecodableSnafu)?;
        ensure!(rest.is_empty(), TrailingBytesSnafu { bytes: rest.len() });
        Ok(frame)
    }

    /// Size of the encoded frame in bytes.
    pub fn encoded_len(&self) -> usize {
        postcard::experimental::serialized_size(self).unwrap_or(0)
    }
}
