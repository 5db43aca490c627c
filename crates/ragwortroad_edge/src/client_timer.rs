use std::{
    pin::Pin,
    time::{
        Duration,
        Instant, //
    }, //
};

use hyper::rt::{
    Sleep,
    Timer, //
};
use hyper_util::rt::TokioTimer;
use tokio::sync::watch::Receiver;

use crate::client_wait::ClientWait;

/// Timer of a client's connection that follows the limits of the configuration in force.
///
/// Hyper takes its head timeout once for a connection, and sleeps until a deadline only for that.
#[derive(Clone, Debug)]
pub(crate) struct ClientTimer {
    limit: Receiver<Duration>,
}

impl ClientTimer {
    /// `limit` is the longest time from one request to the end of the next one's head.
    pub(crate) fn new(limit: Receiver<Duration>) -> Self {
        Self { limit }
    }
}

impl Timer for ClientTimer {
    fn sleep(&self, duration: Duration) -> Pin<Box<dyn Sleep>> {
        TokioTimer::new().sleep(duration)
    }

    fn sleep_until(&self, _deadline: Instant) -> Pin<Box<dyn Sleep>> {
        Box::pin(ClientWait::start(self.limit.clone()))
    }
}
