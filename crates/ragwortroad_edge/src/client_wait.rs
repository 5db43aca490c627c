use std::{
    future::Future,
    pin::Pin,
    task::{
        Context,
        Poll, //
    },
    time::Duration, //
};

use hyper::rt::Sleep;
use tokio::{
    sync::watch::Receiver,
    time::{
        Instant,
        sleep_until, //
    }, //
};

use crate::wait_end::WaitEnd;

/// Time that a client takes from one request to the next, which ends as the newest limit says.
pub(crate) struct ClientWait {
    wait: Pin<Box<dyn Future<Output = ()> + Send + Sync>>,
}

impl ClientWait {
    /// Starts the wait now.
    pub(crate) fn start(limit: Receiver<Duration>) -> Self {
        Self {
            wait: Box::pin(wait_out(limit)),
        }
    }
}

impl Future for ClientWait {
    type Output = ();

    fn poll(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<()> {
        self.wait.as_mut().poll(context)
    }
}

impl Sleep for ClientWait {}

/// Completes once the limit has passed, which may change meanwhile.
async fn wait_out(mut limit: Receiver<Duration>) {
    let mut end = WaitEnd::new(Instant::now(), *limit.borrow_and_update());
    loop {
        tokio::select! {
            () = sleep_until(end.ends_at()) => return,
            // The sender lives as long as the edge.
            _ = limit.changed() => {}
        }
        end.change_limit(*limit.borrow_and_update(), Instant::now());
    }
}
