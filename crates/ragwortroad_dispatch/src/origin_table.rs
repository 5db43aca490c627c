use std::{
    collections::{
        HashMap,
        VecDeque, //
    },
    time::Duration, //
};

use ragwortroad_types::prelude::*;

use crate::{
    StreamKey,
    StreamOrigin,
    VersionTag, //
};

/// Time after its begin within which a stream may come back.
pub const STREAM_MEMORY: Duration = Duration::from_secs(60);

/// Number of streams that a table remembers.
const MAX_ORIGINS: usize = 1 << 16;

/// Which software version began each of the streams of the last minute.
#[derive(Debug, Default)]
pub struct OriginTable {
    /// Invariant: at most `MAX_ORIGINS` entries, each with an element in `order`.
    entries: HashMap<StreamKey, OriginEntry>,
    /// Streams by the time at which they were first noted, the oldest first.
    order: VecDeque<(ClockTime, StreamKey)>,
}

#[derive(Clone, Copy, Debug)]
struct OriginEntry {
    version: Option<VersionTag>,
    noted_at: ClockTime,
}

impl OriginTable {
    /// Records which version began a stream; returns whether this was news.
    ///
    /// A second version for the same stream makes its origin uncertain: the client has used one id
    /// for two streams.
    pub fn note(&mut self, origin: StreamOrigin, now: ClockTime) -> bool {
        self.expire(now);
        if let Some(entry) = self.entries.get_mut(&origin.stream) {
            let is_news = entry.version.is_some() && entry.version != origin.version;
            if is_news {
                entry.version = None;
            }
            return is_news;
        }
        if self.entries.len() >= MAX_ORIGINS {
            self.remove_oldest();
        }
        let entry = OriginEntry {
            version: origin.version,
            noted_at: now,
        };
        self.entries.insert(origin.stream, entry);
        self.order.push_back((now, origin.stream));
        true
    }

    /// Returns what is known of a stream.
    pub fn find(&self, stream: StreamKey, now: ClockTime) -> Option<StreamOrigin> {
        let entry = self.entries.get(&stream)?;
        let version = entry.version;
        let is_recent = now.since(entry.noted_at) < STREAM_MEMORY;
        is_recent.then_some(StreamOrigin { stream, version })
    }

    /// Returns all streams that began within a time.
    pub fn recent(&self, within: Duration, now: ClockTime) -> impl Iterator<Item = StreamOrigin> {
        let newest = self.order.iter().rev();
        let recent = newest.take_while(move |(noted_at, _)| now.since(*noted_at) < within);
        recent.filter_map(|&(_, stream)| {
            let version = self.entries.get(&stream)?.version;
            Some(StreamOrigin { stream, version })
        })
    }

    /// Number of streams remembered.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether no stream is remembered.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Removes streams that cannot come back any more.
    pub fn expire(&mut self, now: ClockTime) {
        while let Some((noted_at, _)) = self.order.front()
            && now.since(*noted_at) >= STREAM_MEMORY
        {
            self.remove_oldest();
        }
    }

    fn remove_oldest(&mut self) {
        if let Some((_, stream)) = self.order.pop_front() {
            self.entries.remove(&stream);
        }
    }
}
