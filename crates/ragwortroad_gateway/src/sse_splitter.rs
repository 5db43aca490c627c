use bytes::{
    Bytes,
    BytesMut, //
};

/// Splits a byte stream into server-sent events, each with its terminating empty line.
#[derive(Debug, Default)]
pub(crate) struct SseSplitter {
    buffer: BytesMut,
    /// Invariant: no event ends within the first `searched` bytes of the buffer.
    searched: usize,
}

/// Maximum size of an event from an engine.
const MAX_EVENT_BYTES: usize = 1 << 20;

impl SseSplitter {
    /// Appends bytes; returns false once the buffer exceeds the maximum event size.
    pub(crate) fn push(&mut self, bytes: &[u8]) -> bool {
        self.buffer.extend_from_slice(bytes);
        self.buffer.len() <= MAX_EVENT_BYTES
    }

    /// Returns the next complete event, if the buffer holds one.
    pub(crate) fn next_event(&mut self) -> Option<Bytes> {
        let end = self.find_end()?;
        self.searched = 0;
        Some(self.buffer.split_to(end).freeze())
    }

    /// Whether no bytes of an unfinished event remain.
    pub(crate) fn is_empty(&self) -> bool {
        self.buffer.is_empty()
    }

    fn find_end(&mut self) -> Option<usize> {
        let bytes = &self.buffer[..];
        for position in self.searched..bytes.len() {
            if bytes[position] != b'\n' {
                continue;
            }
            let tail = &bytes[position + 1..];
            if tail.starts_with(b"\n") {
                return Some(position + 2);
            }
            if tail.starts_with(b"\r\n") {
                return Some(position + 3);
            }
        }
        self.searched = bytes.len().saturating_sub(2);
        None
    }
}

/// The text after `data:` in an event; `None` for a comment.
pub(crate) fn event_data(event: &[u8]) -> Option<&[u8]> {
    let line = event
        .split(|byte| *byte == b'\n')
        .find_map(|line| line.strip_prefix(b"data:"))?;
    Some(line.trim_ascii())
}
