use std::{
    hash::{
        BuildHasher,
        RandomState, //
    },
    sync::{
        Arc,
        atomic::{
            AtomicBool,
            AtomicU64,
            AtomicUsize,
            Ordering, //
        },
    }, //
};

use flume::Sender;
use ragwortroad_types::prelude::*;
use tokio::sync::{
    Notify,
    mpsc::UnboundedSender, //
};

use crate::{
    ControlCall,
    GatewayPages,
    GatewaySettings,
    body_budget::{
        BodyBudget,
        BodyReservation, //
    },
    cancel_worker::CancelRequest,
    endpoint_pool::EndpointPool, //
};

/// State shared by all connections of one gateway.
pub(crate) struct GatewayState {
    pub(crate) settings: GatewaySettings,
    pub(crate) calls: Sender<ControlCall>,
    pub(crate) pages: GatewayPages,
    pub(crate) cancels: UnboundedSender<CancelRequest>,
    pub(crate) pool: EndpointPool,
    pub(crate) budget: Arc<BodyBudget>,
    /// Invariant: never reset once true.
    draining: AtomicBool,
    /// Invariant: the number of live [`FlightGuard`]s.
    request_count: AtomicUsize,
    idle_notify: Notify,
    request_id_hasher: RandomState,
    next_request_number: AtomicU64,
}

impl GatewayState {
    pub(crate) fn new(
        settings: GatewaySettings,
        calls: Sender<ControlCall>,
        pages: GatewayPages,
        cancels: UnboundedSender<CancelRequest>,
    ) -> Self {
        Self {
            budget: Arc::new(BodyBudget::new(settings.max_buffered_body_bytes)),
            settings,
            calls,
            pages,
            cancels,
            pool: EndpointPool::default(),
            draining: AtomicBool::new(false),
            request_count: AtomicUsize::new(0),
            idle_notify: Notify::new(),
            request_id_hasher: RandomState::new(),
            next_request_number: AtomicU64::new(0),
        }
    }

    /// Returns a new request identity: a counter, hashed with a key that the system draws.
    pub(crate) fn next_request_id(&self) -> RequestId {
        let count = self.next_request_number.fetch_add(1, Ordering::Relaxed);
        RequestId(self.request_id_hasher.hash_one(count))
    }

    pub(crate) fn begin_drain(&self) {
        self.draining.store(true, Ordering::Release);
    }

    pub(crate) fn is_draining(&self) -> bool {
        self.draining.load(Ordering::Acquire)
    }

    pub(crate) fn in_flight(&self) -> usize {
        self.request_count.load(Ordering::Acquire)
    }

    /// Counts a request as in flight until the guard is dropped.
    pub(crate) fn begin_request(self: &Arc<Self>) -> FlightGuard {
        self.request_count.fetch_add(1, Ordering::AcqRel);
        FlightGuard {
            state: Arc::clone(self),
            reservation: self.budget.new_reservation(),
        }
    }

    /// Waits until no request is in flight.
    pub(crate) async fn wait_until_idle(&self) {
        loop {
            let notified = self.idle_notify.notified();
            if self.in_flight() == 0 {
                return;
            }
            notified.await;
        }
    }
}

/// A request in flight, from its head to the last byte of its response.
pub(crate) struct FlightGuard {
    state: Arc<GatewayState>,
    /// Memory reserved for the request body, which is kept for further attempts.
    pub(crate) reservation: BodyReservation,
}

impl Drop for FlightGuard {
    fn drop(&mut self) {
        if self.state.request_count.fetch_sub(1, Ordering::AcqRel) == 1 {
            self.state.idle_notify.notify_waiters();
        }
    }
}
