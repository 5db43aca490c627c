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
    StreamBroken, //
};

/// The body of an answer to a caller.
pub(crate) enum EdgeBody {
    /// All of it is there; nothing once it was taken.
    Whole(Option<Bytes>),
    /// Events as they come.
    Stream(Box<StreamBody>),
}

impl EdgeBody {
    /// A body that is there as a whole.
    pub(crate) fn whole(bytes: impl Into<Bytes>) -> Self {
        Self::Whole(Some(bytes.into()).filter(|bytes: &Bytes| !bytes.is_empty()))
    }
}

impl Body for EdgeBody {
    type Data = Bytes;
    type Error = StreamBroken;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, StreamBroken>>> {
        match self.get_mut() {
            Self::Whole(bytes) => Poll::Ready(bytes.take().map(|bytes| Ok(Frame::data(bytes)))),
            Self::Stream(stream) => stream.poll_events(context),
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, Self::Whole(None))
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Whole(bytes) => {
                let length = bytes.as_ref().map_or(0, Bytes::len);
                SizeHint::with_exact(length as u64)
            }
            Self::Stream(_) => SizeHint::default(),
        }
    }
}
