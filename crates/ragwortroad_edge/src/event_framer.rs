use bytes::{
    Buf,
    Bytes,
    BytesMut, //
};

/// Cuts a stream of bytes into whole events.
///
/// An endpoint can break off in the middle of an event. A caller that was handed the half and then
/// the next run's events would join the two; so only whole events are handed over.
#[derive(Debug, Default)]
pub struct EventFramer {
    /// Bytes that do not make a whole event yet.
    buffer: BytesMut,
    last_event_id: Option<u64>,
}

impl EventFramer {
    /// Takes bytes; returns the whole events that they complete, if any.
    pub fn push(&mut self, bytes: &[u8]) -> Option<Bytes> {
        // The end mark can begin in what was there before.
        let searched = self.buffer.len().saturating_sub(MAX_END_MARK_OVERLAP);
        self.buffer.extend_from_slice(bytes);
        let end = last_event_end(&self.buffer[searched..])? + searched;
        let events = self.buffer.copy_to_bytes(end);
        if let Some(id) = last_event_id(&events) {
            self.last_event_id = Some(id);
        }
        Some(events)
    }

    /// Number of the last whole event, once one has come that has a number.
    pub fn last_event_id(&self) -> Option<u64> {
        self.last_event_id
    }

    /// Whether an event has begun and not ended.
    pub fn has_partial_event(&self) -> bool {
        !self.buffer.is_empty()
    }

    /// Forgets the half of an event, before another run goes on behind the last whole one.
    pub fn discard_partial(&mut self) {
        self.buffer.clear();
    }
}

/// Bytes of the longest end mark, less one.
const MAX_END_MARK_OVERLAP: usize = 3;

/// Where the last whole event ends: behind an empty line.
fn last_event_end(bytes: &[u8]) -> Option<usize> {
    for end in (1..=bytes.len()).rev() {
        let prefix = &bytes[..end];
        if prefix.ends_with(b"\n\n") || prefix.ends_with(b"\n\r\n") {
            return Some(end);
        }
    }
    None
}

/// The number of the last event that has one.
fn last_event_id(bytes: &[u8]) -> Option<u64> {
    let mut lines = bytes.split(|byte| *byte == b'\n').rev();
    lines.find_map(|line| {
        let value = line.strip_prefix(b"id:")?;
        let text = std::str::from_utf8(value).ok()?;
        text.trim().parse().ok()
    })
}
