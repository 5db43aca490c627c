use std::{
    collections::{
        BTreeMap,
        BTreeSet, //
    },
    net::{
        IpAddr,
        SocketAddr, //
    }, //
};

use ragwortroad_types::prelude::*;

use crate::{
    address_choice::choose_addresses,
    edge_gathering::{
        DirectoryGap,
        EdgeGathering, //
    },
    edge_view::EdgeView, //
};

/// Edges that callers are told of, by the word of all registries.
///
/// An edge that any connected registry calls ready is told: a registry that is cut off from edges
/// has lost them without their being gone. Answers the loss of the registries of a whole failure
/// domain, and of all of them for a while.
#[derive(Debug)]
pub struct EdgeDirectory {
    gathering: EdgeGathering,
    /// The last word of each registry, by where it listens.
    ///
    /// Invariant: a registry that is not connected has one only while none is connected that has
    /// told.
    views: BTreeMap<SocketAddr, ToldView>,
}

/// The word of one registry.
#[derive(Debug)]
struct ToldView {
    view: EdgeView,
    is_connected: bool,
}

impl EdgeDirectory {
    /// A directory that starts now and knows no edge.
    pub fn new(now: ClockTime) -> Self {
        Self {
            gathering: EdgeGathering::new(now),
            views: BTreeMap::new(),
        }
    }

    /// A registry tells what it knows.
    pub fn note_view(&mut self, registry: SocketAddr, view: EdgeView, now: ClockTime) {
        if view.edges > self.edges() {
            self.gathering.note_joined(now);
        }
        let told = ToldView {
            view,
            is_connected: true,
        };
        self.views.insert(registry, told);
        self.views.retain(|_, told| told.is_connected);
    }

    /// The connection to a registry has ended.
    pub fn note_lost(&mut self, registry: SocketAddr) {
        if let Some(told) = self.views.get_mut(&registry) {
            told.is_connected = false;
        }
        if self.views.values().any(|told| told.is_connected) {
            self.views.retain(|_, told| told.is_connected);
        }
    }

    /// At most `most` edges for a caller that asks from an address.
    pub fn find(
        &self,
        asker: IpAddr,
        most: usize,
        now: ClockTime,
    ) -> Result<Vec<SocketAddr>, DirectoryGap> {
        let ready = self.views.values().flat_map(|told| &told.view.ready);
        let ready: BTreeSet<SocketAddr> = ready.copied().collect();
        match self.gathering.gap(ready.len(), self.edges() as usize, now) {
            Some(gap) => Err(gap),
            None => Ok(choose_addresses(asker, ready.into_iter().collect(), most)),
        }
    }

    /// Edges that the registry with most of them knows.
    fn edges(&self) -> u32 {
        let counts = self.views.values().map(|told| told.view.edges);
        counts.max().unwrap_or(0)
    }
}
