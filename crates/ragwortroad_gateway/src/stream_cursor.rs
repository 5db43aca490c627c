use crate::{
    chunk_wire::{
        ChunkChoice,
        ChunkWire, //
    },
    sse_splitter::event_data, //
};

/// The caller's place in a streamed answer, kept over all attempts.
///
/// A stream that breaks goes on at another engine. Whether a token was handed over is known here
/// and nowhere else, so here it is decided which events of which attempt the caller gets.
#[derive(Debug, Default)]
pub(crate) struct StreamCursor {
    /// Tokens handed to the caller.
    pub(crate) tokens: u32,
    /// Their text.
    pub(crate) text: String,
    /// Prompt tokens the engine found in its cache.
    pub(crate) cached_tokens: Option<u32>,
    /// Whether an event of any kind was handed to the caller.
    has_forwarded: bool,
    /// Whether the event with the reason for the end was handed over.
    finished: bool,
    /// Whether the answer has parts that cannot be counted as tokens of one text.
    is_uncountable: bool,
    /// Whether the engine numbers its tokens, so that its count at the end can be compared.
    has_token_indexes: bool,
    /// Identity that every chunk must have, where engines name the request in it.
    expected_id: Option<String>,
    /// Identity in the chunks of the present attempt.
    ///
    /// Invariant: the wanted one, or else set by an attempt's first chunk; equal in all that follow.
    attempt_id: Option<String>,
    /// Whether the present attempt is not the first.
    is_resumed: bool,
}

/// What to do with one event.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum EventStep {
    /// Hand it to the caller.
    Forward,
    /// The caller has it already, or needs it once only.
    Skip,
    /// The answer's final marker.
    Done,
    /// The stream is not what it should be.
    Broken(&'static str),
}

impl StreamCursor {
    /// A cursor at the begin of an answer whose chunks must have this identity, if there is one.
    pub(crate) fn new(expected_id: Option<String>) -> Self {
        Self {
            attempt_id: expected_id.clone(),
            expected_id,
            ..Self::default()
        }
    }

    /// Whether another engine can go on where this stream stands.
    pub(crate) fn can_resume(&self) -> bool {
        !self.is_uncountable
    }

    /// Readies the cursor for the next attempt.
    pub(crate) fn begin_attempt(&mut self) {
        self.attempt_id = self.expected_id.clone();
        self.is_resumed = self.has_forwarded;
    }

    /// Judges the next event, and counts it where it goes to the caller.
    pub(crate) fn step(&mut self, event: &[u8]) -> EventStep {
        let Some(data) = event_data(event) else {
            return EventStep::Forward;
        };
        if data == b"[DONE]" {
            return EventStep::Done;
        }
        let Ok(chunk) = serde_json::from_slice::<ChunkWire<'_>>(data) else {
            return EventStep::Broken("an event is not a chunk in JSON");
        };
        if chunk.error.is_some() {
            return EventStep::Broken("the engine reported an error in the stream");
        }
        if !self.is_same_completion(&chunk) {
            return EventStep::Broken("the stream went over to another answer");
        }
        if let Some(usage) = &chunk.usage {
            self.cached_tokens = self.cached_tokens.or(usage.cached_tokens());
        }
        if self.is_missing_tokens(&chunk) {
            return EventStep::Broken("the last tokens are missing in the stream");
        }
        let step = self.classify(&chunk);
        self.has_forwarded |= step == EventStep::Forward;
        step
    }

    fn is_same_completion(&mut self, chunk: &ChunkWire<'_>) -> bool {
        let Some(id) = chunk.id.as_deref() else {
            return true;
        };
        match &self.attempt_id {
            Some(first) => first == id,
            None => {
                self.attempt_id = Some(id.to_owned());
                true
            }
        }
    }

    /// Whether the engine counts more tokens than came.
    ///
    /// A token missing in the middle shows by the next one's number; the last one has no next.
    fn is_missing_tokens(&self, chunk: &ChunkWire<'_>) -> bool {
        let usage = chunk.usage.as_ref();
        let reported_count = usage.and_then(|usage| usage.completion_tokens);
        let has_content = chunk
            .choices
            .iter()
            .any(|choice| choice.delta.content.is_some());
        self.has_token_indexes
            && !has_content
            && reported_count.is_some_and(|count| count > self.tokens)
    }

    fn classify(&mut self, chunk: &ChunkWire<'_>) -> EventStep {
        let is_unsupported =
            |choice: &ChunkChoice<'_>| choice.index > 0 || choice.delta.tool_calls.is_some();
        if chunk.choices.iter().any(is_unsupported) {
            self.is_uncountable = true;
        }
        let first = chunk.choices.first();
        let content = first.and_then(|choice| choice.delta.content.as_deref());
        let is_finish = first.is_some_and(|choice| choice.finish_reason.is_some());
        match content {
            Some(content) if !content.is_empty() => self.accept_tokens(chunk, content, is_finish),
            _ if is_finish => self.accept_finish(),
            _ if self.is_resumed && chunk.usage.is_none() => EventStep::Skip,
            _ => EventStep::Forward,
        }
    }

    fn accept_tokens(
        &mut self,
        chunk: &ChunkWire<'_>,
        content: &str,
        is_finish: bool,
    ) -> EventStep {
        self.has_token_indexes |= chunk.token_index.is_some();
        match chunk.token_index {
            Some(index) if index < self.tokens => return EventStep::Skip,
            Some(index) if index > self.tokens => {
                return EventStep::Broken("a token is missing in the stream");
            }
            // An engine that knows nothing of resuming begins again at the first token, and only
            // its numbers could tell.
            None if self.is_resumed && self.tokens > 0 => {
                return EventStep::Broken("the engine does not say where it goes on");
            }
            _ => {}
        }
        self.tokens += chunk.token_count.unwrap_or(1);
        self.text.push_str(content);
        self.finished |= is_finish;
        EventStep::Forward
    }

    fn accept_finish(&mut self) -> EventStep {
        if self.finished {
            return EventStep::Skip;
        }
        self.finished = true;
        EventStep::Forward
    }
}
