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
    body_room::{
        BodyRoom,
        HeldRoom, //
    },
    cancel_worker::CancelOrder,
    endpoint_pool::EndpointPool, //
};

/// What all connections of one gateway share.
pub(crate) struct GatewayState {
    pub(crate) settings: GatewaySettings,
    pub(crate) calls: Sender<ControlCall>,
    pub(crate) pages: GatewayPages,
    pub(crate) cancels: UnboundedSender<CancelOrder>,
    pub(crate) pool: EndpointPool,
    pub(crate) room: Arc<BodyRoom>,
    /// Invariant: once true, stays true.
    draining: AtomicBool,
    /// Invariant: the number of live [`FlightGuard`]s.
    flights: AtomicUsize,
    landed: Notify,
    seeds: RandomState,
    drawn: AtomicU64,
}

impl GatewayState {
    pub(crate) fn new(
        settings: GatewaySettings,
        calls: Sender<ControlCall>,
        pages: GatewayPages,
        cancels: UnboundedSender<CancelOrder>,
    ) -> Self {
        Self {
            room: Arc::new(BodyRoom::new(settings.max_buffered_body_bytes)),
            settings,
            calls,
            pages,
            cancels,
            pool: EndpointPool::default(),
            draining: AtomicBool::new(false),
            flights: AtomicUsize::new(0),
            landed: Notify::new(),
            seeds: RandomState::new(),
            drawn: AtomicU64::new(0),
        }
    }

    /// A new request's identity: a counter under a keyed hash whose key the system draws.
    pub(crate) fn draw_request(&self) -> RequestId {
        let count = self.drawn.fetch_add(1, Ordering::Relaxed);
        RequestId(self.seeds.hash_one(count))
    }

    pub(crate) fn begin_drain(&self) {
        self.draining.store(true, Ordering::Release);
    }

    pub(crate) fn is_draining(&self) -> bool {
        self.draining.load(Ordering::Acquire)
    }

    pub(crate) fn in_flight(&self) -> usize {
        self.flights.load(Ordering::Acquire)
    }

    /// Counts a request in until the guard drops.
    pub(crate) fn take_off(self: &Arc<Self>) -> FlightGuard {
        self.flights.fetch_add(1, Ordering::AcqRel);
        FlightGuard {
            state: Arc::clone(self),
            room: self.room.hold(),
        }
    }

    /// Waits until no request is in flight.
    pub(crate) async fn all_landed(&self) {
        loop {
            let landed = self.landed.notified();
            if self.in_flight() == 0 {
                return;
            }
            landed.await;
        }
    }
}

/// One request in flight, from its head to the last byte of its answer.
pub(crate) struct FlightGuard {
    state: Arc<GatewayState>,
    /// Room for the request's body, which is kept for attempts to come.
    pub(crate) room: HeldRoom,
}

impl Drop for FlightGuard {
    fn drop(&mut self) {
        if self.state.flights.fetch_sub(1, Ordering::AcqRel) == 1 {
            self.state.landed.notify_waiters();
        }
    }
}
