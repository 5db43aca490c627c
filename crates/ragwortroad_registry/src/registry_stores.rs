use std::net::SocketAddr;

use ragwortroad_dispatch::prelude::*;
use ragwortroad_types::prelude::*;

use crate::{
    hint_store::HintStore,
    origin_store::OriginStore,
    version_store::VersionStore, //
};

/// Files of what a registry has to remember over a loss of power, apart from the log.
#[derive(Debug)]
pub(crate) struct RegistryStores {
    /// Which engines hold which prompt prefixes.
    pub(crate) locations: HintStore<PrefixLocation>,
    /// Parts of prompts under which endpoints crashed.
    pub(crate) parts: HintStore<PartReport>,
    /// Addresses of the other registries; absent if recall is disabled.
    pub(crate) peers: Option<HintStore<SocketAddr>>,
    /// Software versions that streams may begin at.
    pub(crate) versions: VersionStore,
    /// Software versions that began the streams of the last minute.
    pub(crate) origins: OriginStore,
}

impl RegistryStores {
    /// Finishes queued saves and joins the threads.
    pub(crate) fn join(self) {
        self.locations.join();
        self.parts.join();
        if let Some(peers) = self.peers {
            peers.join();
        }
        self.versions.join();
        self.origins.join();
    }
}
