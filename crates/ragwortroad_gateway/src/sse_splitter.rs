use bytes::{
    Bytes,
    BytesMut, //
};

/// Cuts a byte stream into server-sent events, each with its closing empty line.
#[derive(Debug, Default)]
pub(crate) struct SseSplitter {
    buffer: BytesMut,
    /// Invariant: no event ends within the first `searched` bytes of the buffer.
    searched: usize,
}

/// Longest event taken from an engine.
const MAX_EVENT_BYTES: usize = 1 << 20;

impl SseSplitter {
    /// Adds bytes; false once an event is longer than any event should be.
    pub(crate) fn push(&mut self, bytes: &[u8]) -> bool {
        self.buffer.extend_from_slice(bytes);
        self.buffer.len() <= MAX_EVENT_BYTES
    }

    /// The next whole event.
    pub(crate) fn next_event(&mut self) -> Option<Bytes> {
        let end = self.find_end()?;
        self.searched = 0;
        Some(self.buffer.split_to(end).freeze())
    }

    /// Whether bytes of an unfinished event are left.
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

/// The text after `data:` of an event, or nothing for a comment.
pub(crate) fn event_data(event: &[u8]) -> Option<&[u8]> {
    let line = event
        .split(|byte| *byte == b'\n')
        .find_map(|line| line.strip_prefix(b"data:"))?;
    Some(line.trim_ascii())
}
