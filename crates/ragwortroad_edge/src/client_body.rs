use std::{
    pin::Pin,
    rc::Rc,
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

use crate::{
    client_session::ClientSession,
    edge_body::EdgeBody,
    stream_body::StreamError, //
};

/// Body of the response on a client's connection, which records whether it has ended as it should.
pub(crate) struct ClientBody {
    body: EdgeBody,
    session: Rc<ClientSession>,
    has_failed: bool,
}

impl ClientBody {
    pub(crate) fn new(body: EdgeBody, session: Rc<ClientSession>) -> Self {
        Self {
            body,
            session,
            has_failed: false,
        }
    }
}

impl Body for ClientBody {
    type Data = Bytes;
    type Error = StreamError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, StreamError>>> {
        let frame = Pin::new(&mut self.body).poll_frame(context);
        if let Poll::Ready(Some(Err(_))) = &frame {
            self.has_failed = true;
        }
        frame
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

impl Drop for ClientBody {
    /// Hyper drops a body once it has taken all of it.
    fn drop(&mut self) {
        if !self.has_failed {
            self.session.note_response_whole();
        }
    }
}
