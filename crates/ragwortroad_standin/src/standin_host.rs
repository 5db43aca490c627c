use std::{
    future::Future,
    net::SocketAddr,
    sync::Arc, //
};

use hyper::{
    Request,
    body::Incoming, //
};
use ragwortroad_types::prelude::*;
use snafu::ResultExt;

use crate::{
    StandinError,
    announce_loop::AnnounceLoop,
    standin_error::ThreadsSnafu,
    standin_reply::StandinReply,
    standin_server::{
        StandinServer,
        StandinState, //
    }, //
};

/// The server and the announcing thread of one stand-in.
pub(crate) struct StandinHost {
    server: StandinServer,
    announcer: Option<AnnounceLoop>,
}

/// Listen address of a stand-in and the nodes it announces itself to.
pub(crate) struct HostSettings {
    pub(crate) listen: SocketAddr,
    pub(crate) threads: usize,
    pub(crate) announce_to: Vec<String>,
    pub(crate) join_secret: String,
}

impl StandinHost {
    /// Serves each request with `handle`, and sends the announcements that `announce` builds from
    /// the stand-in's address and home epoch.
    pub(crate) fn start<Handle, Reply>(
        settings: HostSettings,
        state: Arc<StandinState>,
        handle: Handle,
        mut announce: impl FnMut(&str, u64) -> AnnounceWire + Send + 'static,
    ) -> Result<Self, StandinError>
    where
        Handle: Fn(Request<Incoming>) -> Reply + Clone + Send + Sync + 'static,
        Reply: Future<Output = StandinReply> + Send + 'static,
    {
        let server = StandinServer::start(settings.listen, settings.threads, state, handle)?;
        let address = server.address().to_string();
        let make_announcement = move |epoch| announce(&address, epoch);
        let announcer = AnnounceLoop::start(
            settings.announce_to,
            settings.join_secret,
            make_announcement,
        )
        .context(ThreadsSnafu)?;
        Ok(Self { server, announcer })
    }

    pub(crate) fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Closes all connections and joins all threads.
    pub(crate) fn stop(self) {
        if let Some(announcer) = self.announcer {
            announcer.stop();
        }
        self.server.stop();
    }
}
