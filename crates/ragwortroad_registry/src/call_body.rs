use std::{
    convert::Infallible,
    pin::Pin,
    rc::Rc,
    task::{
        Context,
        Poll, //
    }, //
};

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::{
    Body,
    Frame,
    SizeHint, //
};

use crate::call_session::CallSession;

/// Body of a response, which the connection drops once it holds all of it.
#[derive(Debug)]
pub(crate) struct CallBody {
    body: Full<Bytes>,
    session: Rc<CallSession>,
}

impl CallBody {
    pub(crate) fn new(body: Full<Bytes>, session: Rc<CallSession>) -> Self {
        Self { body, session }
    }
}

impl Body for CallBody {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        Pin::new(&mut self.body).poll_frame(context)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

impl Drop for CallBody {
    fn drop(&mut self) {
        self.session.note_encoded();
    }
}
