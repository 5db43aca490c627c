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

/// Everything that reaches the control thread.
#[derive(Debug)]
pub(crate) struct ControlInbox {
    /// Calls of traffic threads.
    pub(crate) calls: Receiver<ControlCall>,
    /// Messages of other nodes.
    pub(crate) peers: Receiver<PeerEvent>,
    /// Reports of the disk thread; only members have one.
    pub(crate) disk: Option<Receiver<DiskReport>>,
    /// Orders of the supervisor.
    pub(crate) commands: Receiver<SupervisorCommand>,
}

/// What the supervisor wants of the control thread.
#[derive(Debug)]
pub(crate) enum SupervisorCommand {
    /// Stop taking work and endpoints, and tell the others.
    Drain,
    /// End the thread; all traffic has ended.
    Stop,
    /// End the thread as a killed process would: send nothing more, to nobody.
    Crash,
    /// Do nothing until the other end is dropped, as a process does that gets no processor.
    Freeze(Receiver<()>),
    /// Answer a page that a traffic thread serves.
    Timeline(TimelineCall),
}

/// A page that is made of control state.
#[derive(Debug)]
pub(crate) struct TimelineCall {
    /// SHA-256 of the operator's key.
    pub(crate) key_hash: [u8; 32],
    /// Which events are wanted.
    pub(crate) filter: EventFilter,
    /// Where the page goes; nothing goes there where the key is wrong.
    pub(crate) reply: flume::Sender<Option<String>>,
}

/// How long a closed channel keeps the thread from looking at the others.
const CLOSED_CHANNEL_SLEEP: Duration = Duration::from_millis(5);

/// One event for the control thread.
#[derive(Debug)]
pub(crate) enum ControlEvent {
    /// A traffic thread calls.
    Call(Box<ControlCall>),
    /// Another node says something.
    Peer(PeerEvent),
    /// The disk thread reports.
    Disk(DiskReport),
    /// The supervisor wants something.
    Supervisor(SupervisorCommand),
}

impl ControlInbox {
    /// The next event, or nothing after `patience`.
    ///
    /// A closed channel is always ready and never has an event. Selected again and again it would
    /// keep a core busy, which shows as a node that is idle and hot; so the rest of the patience
    /// is slept through in short steps.
    pub(crate) fn next(&self, patience: Duration) -> Option<ControlEvent> {
        let mut selector = Selector::new()
            .recv(&self.calls, |event| wrap(event, boxed_call))
            .recv(&self.peers, |event| wrap(event, ControlEvent::Peer))
            .recv(&self.commands, |event| {
                wrap(event, ControlEvent::Supervisor)
            });
        if let Some(disk) = &self.disk {
            selector = selector.recv(disk, |event| wrap(event, ControlEvent::Disk));
        }
        match selector.wait_timeout(patience) {
            Ok(Some(event)) => Some(event),
            Ok(None) => {
                thread::sleep(patience.min(CLOSED_CHANNEL_SLEEP));
                self.ready()
            }
            Err(_) => None,
        }
    }

    /// An event that is there already.
    pub(crate) fn ready(&self) -> Option<ControlEvent> {
        let calls = || self.calls.try_recv().map(boxed_call).ok();
        let peers = || self.peers.try_recv().map(ControlEvent::Peer).ok();
        let disk = || {
            let disk = self.disk.as_ref()?;
            disk.try_recv().map(ControlEvent::Disk).ok()
        };
        let commands = || self.commands.try_recv().map(ControlEvent::Supervisor).ok();
        // What the disk and the supervisor say is rare and holds others up, so it goes first.
        disk().or_else(commands).or_else(peers).or_else(calls)
    }
}

/// A call as an event; boxed, since it is many times the size of the others.
fn boxed_call(call: ControlCall) -> ControlEvent {
    ControlEvent::Call(Box::new(call))
}

/// The event in a received item; a closed channel gives none.
fn wrap<T>(
    received: Result<T, RecvError>,
    make: impl FnOnce(T) -> ControlEvent,
) -> Option<ControlEvent> {
    received.ok().map(make)
}
