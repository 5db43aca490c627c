use std::{
    pin::Pin,
    task::{
        Context,
        Poll, //
    }, //
};

use bytes::Bytes;
use http_body::{
    Body,
    Frame,
    SizeHint, //
};

use crate::stream_body::{
    StreamBody,
    StreamError, //
};

/// Body of a response to a client.
pub(crate) enum EdgeBody {
    /// The complete body; `None` if empty or already taken.
    Full(Option<Bytes>),
    /// An event stream that is forwarded as it arrives.
    Stream(Box<StreamBody>),
}

impl EdgeBody {
    /// Creates a complete body.
    pub(crate) fn full(bytes: impl Into<Bytes>) -> Self {
        Self::Full(Some(bytes.into()).filter(|bytes: &Bytes| !bytes.is_empty()))
    }

    /// Returns the bytes held until the client has read them; a stream holds none.
    pub(crate) fn held_bytes(&self) -> usize {
        match self {
            Self::Full(bytes) => bytes.as_ref().map_or(0, Bytes::len),
            Self::Stream(_) => 0,
        }
    }
}

impl Body for EdgeBody {
    type Data = Bytes;
    type Error = StreamError;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, StreamError>>> {
        match self.get_mut() {
            Self::Full(bytes) => Poll::Ready(bytes.take().map(|bytes| Ok(Frame::data(bytes)))),
            Self::Stream(stream) => stream.poll_events(context),
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, Self::Full(None))
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Full(_) => SizeHint::with_exact(self.held_bytes() as u64),
            Self::Stream(_) => SizeHint::default(),
        }
    }
}
