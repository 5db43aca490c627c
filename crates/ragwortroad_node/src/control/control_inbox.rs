use std::{
    thread,
    time::Duration, //
};

use flume::{
    Receiver,
    RecvError,
    Selector, //
};
use ragwortroad_gateway::prelude::*;
use ragwortroad_timeline::prelude::*;
use ragwortroad_transport::prelude::*;

use crate::disk_worker::DiskReport;

/// The channels that feed the control thread.
#[derive(Debug)]
pub(crate) struct ControlInbox {
    /// Calls from traffic threads.
    pub(crate) calls: Receiver<ControlCall>,
    /// Messages from other nodes.
    pub(crate) peers: Receiver<PeerEvent>,
    /// Reports from the disk thread; only members have one.
    pub(crate) disk: Option<Receiver<DiskReport>>,
    /// Commands from the supervisor.
    pub(crate) commands: Receiver<SupervisorCommand>,
}

/// A command from the supervisor to the control thread.
#[derive(Debug)]
pub(crate) enum SupervisorCommand {
    /// Stop taking requests and endpoints, and announce it to the other nodes.
    Drain,
    /// End the thread; sent after all traffic has ended.
    Stop,
    /// End the thread as a killed process would, without sending anything.
    Crash,
    /// Block until the other end is dropped, like a process that gets no CPU time.
    Freeze(Receiver<()>),
    /// Return this node's timeline to a traffic thread.
    Timeline(TimelineCall),
}

/// A request for this node's timeline, made by a traffic thread.
#[derive(Debug)]
pub(crate) struct TimelineCall {
    /// SHA-256 of the operator's key.
    pub(crate) key_hash: [u8; 32],
    /// Selects the events to return.
    pub(crate) filter: EventFilter,
    /// Receives the page, or `None` if no operator has this key.
    pub(crate) reply: flume::Sender<Option<String>>,
}

/// Longest sleep after a closed channel was selected.
const CLOSED_CHANNEL_SLEEP: Duration = Duration::from_millis(5);

/// An event for the control thread.
#[derive(Debug)]
pub(crate) enum ControlEvent {
    Call(Box<ControlCall>),
    /// A message from another node, or the loss of its connection.
    Peer(PeerEvent),
    Disk(DiskReport),
    Supervisor(SupervisorCommand),
}

impl ControlInbox {
    /// Returns the next event, or `None` after `timeout`.
    ///
    /// A closed channel is always ready but never has an event. Selecting it in a loop would keep a
    /// core busy on an idle node, so the thread sleeps for the rest of `timeout` in short steps.
    pub(crate) fn next(&self, timeout: Duration) -> Option<ControlEvent> {
        let mut selector = Selector::new()
            .recv(&self.calls, |event| to_event(event, boxed_call))
            .recv(&self.peers, |event| to_event(event, ControlEvent::Peer))
            .recv(&self.commands, |event| {
                to_event(event, ControlEvent::Supervisor)
            });
        if let Some(disk) = &self.disk {
            selector = selector.recv(disk, |event| to_event(event, ControlEvent::Disk));
        }
        match selector.wait_timeout(timeout) {
            Ok(Some(event)) => Some(event),
            Ok(None) => {
                thread::sleep(timeout.min(CLOSED_CHANNEL_SLEEP));
                self.ready()
            }
            Err(_) => None,
        }
    }

    /// Returns an event if one is already queued.
    pub(crate) fn ready(&self) -> Option<ControlEvent> {
        let calls = || self.calls.try_recv().map(boxed_call).ok();
        let peers = || self.peers.try_recv().map(ControlEvent::Peer).ok();
        let disk = || {
            let disk = self.disk.as_ref()?;
            disk.try_recv().map(ControlEvent::Disk).ok()
        };
        let commands = || self.commands.try_recv().map(ControlEvent::Supervisor).ok();
        // Events from the disk thread and the supervisor are rare and block other work, so they go
        // first.
        disk().or_else(commands).or_else(peers).or_else(calls)
    }
}

/// Boxes a call, which is many times the size of the other events.
fn boxed_call(call: ControlCall) -> ControlEvent {
    ControlEvent::Call(Box::new(call))
}

/// Converts a received item to an event; `None` if its channel is closed.
fn to_event<T>(
    received: Result<T, RecvError>,
    make: impl FnOnce(T) -> ControlEvent,
) -> Option<ControlEvent> {
    received.ok().map(make)
}
