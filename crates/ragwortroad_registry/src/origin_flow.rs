//! Remembers for edges which software version began each stream.

use ragwortroad_dispatch::prelude::*;
use ragwortroad_link::prelude::*;
use ragwortroad_types::prelude::*;

use crate::{
    registry_event::LinkKey,
    registry_state::RegistryState, //
};

impl RegistryState {
    /// Remembers streams that an edge has begun, and versions that it has seen.
    pub(crate) fn add_origins(
        &mut self,
        versions: &[VersionTag],
        origins: &[StreamOrigin],
        now: ClockTime,
    ) {
        let begun = origins.iter().filter_map(|origin| origin.version);
        self.note_versions(versions.iter().copied().chain(begun), now);
        let news = origins.iter().copied();
        let news: Vec<StreamOrigin> = news
            .filter(|origin| self.origins.note(*origin, now))
            .collect();
        if !news.is_empty() {
            self.has_saved_origins = true;
            self.stores.origins.append(news);
        }
    }

    /// Removes streams that cannot come back any more.
    pub(crate) fn expire_origins(&mut self, now: ClockTime) {
        self.origins.expire(now);
        let is_over = now.since(self.started_at) >= STREAM_MEMORY;
        if self.has_saved_origins && is_over && self.origins.is_empty() {
            self.has_saved_origins = false;
            self.stores.origins.clear();
        }
    }

    /// Tells an edge what is known of a stream.
    pub(crate) fn tell_origin(
        &self,
        link: LinkKey,
        token: u64,
        stream: Option<StreamKey>,
        service: ServiceTag,
        now: ClockTime,
    ) {
        let answer = OriginAnswer {
            origin: stream.and_then(|stream| self.origins.find(stream, now)),
            versions: self.versions.versions(service).collect(),
            is_complete: self.versions.is_complete() && self.is_voter(),
        };
        if let Some(queue) = self.links.get(&link) {
            queue.send(&LinkMessage::OriginKnown { token, answer });
        }
    }
}
