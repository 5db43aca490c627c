use bytes::{
    Buf,
    Bytes,
    BytesMut, //
};

/// Splits a byte stream into complete server-sent events.
///
/// An endpoint can fail in the middle of an event. A client that received the partial event
/// followed by events from a resumed stream would join the two, so only complete events are
/// forwarded.
#[derive(Debug, Default)]
pub struct EventFramer {
    /// Bytes of an incomplete event.
    buffer: BytesMut,
    last_event_id: Option<u64>,
}

impl EventFramer {
    /// Appends bytes and returns the events that are now complete; `None` if there are none.
    pub fn push(&mut self, bytes: &[u8]) -> Option<Bytes> {
        // The terminator may have started in the bytes received earlier.
        let searched = self.buffer.len().saturating_sub(MAX_TERMINATOR_OVERLAP);
        self.buffer.extend_from_slice(bytes);
        let end = last_event_end(&self.buffer[searched..])? + searched;
        let events = self.buffer.copy_to_bytes(end);
        if let Some(id) = last_event_id(&events) {
            self.last_event_id = Some(id);
        }
        Some(events)
    }

    /// Id of the last complete event that had a numeric id; `None` before the first one.
    pub fn last_event_id(&self) -> Option<u64> {
        self.last_event_id
    }

    /// Whether an event has started but is not complete.
    pub fn has_partial_event(&self) -> bool {
        !self.buffer.is_empty()
    }

    /// Length of the incomplete event in bytes.
    pub fn partial_bytes(&self) -> usize {
        self.buffer.len()
    }

    /// Discards a partial event before the stream resumes after the last complete one.
    pub fn discard_partial(&mut self) {
        self.buffer = BytesMut::new();
    }
}

/// Length of the longest event terminator, minus one.
const MAX_TERMINATOR_OVERLAP: usize = 3;

/// Position after the last complete event, which is terminated by an empty line.
fn last_event_end(bytes: &[u8]) -> Option<usize> {
    for end in (1..=bytes.len()).rev() {
        let prefix = &bytes[..end];
        if prefix.ends_with(b"\n\n") || prefix.ends_with(b"\n\r\n") {
            return Some(end);
        }
    }
    None
}

/// Id of the last event that has a numeric id.
fn last_event_id(bytes: &[u8]) -> Option<u64> {
    let mut lines = bytes.split(|byte| *byte == b'\n').rev();
    lines.find_map(|line| {
        let value = line.strip_prefix(b"id:")?;
        let text = std::str::from_utf8(value).ok()?;
        text.trim().parse().ok()
    })
}
