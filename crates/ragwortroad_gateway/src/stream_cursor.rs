use crate::{
    chunk_wire::{
        ChunkChoice,
        ChunkWire, //
    },
    sse_splitter::event_data, //
};

/// Tracks how much of a streamed response the client has received, across all attempts.
///
/// After a broken stream another engine resumes the response. Only the cursor knows which tokens
/// were forwarded, so it decides which events of which attempt the client gets.
#[derive(Debug, Default)]
pub(crate) struct StreamCursor {
    /// Number of tokens forwarded to the client.
    pub(crate) tokens: u32,
    /// Text of the forwarded tokens.
    pub(crate) text: String,
    /// Prompt tokens that the engine found in its prefix cache, if it reported them.
    pub(crate) cached_tokens: Option<u32>,
    /// Whether an event of any kind was forwarded to the client.
    has_forwarded: bool,
    /// Whether the event with the finish reason was forwarded.
    finished: bool,
    /// Whether the response has parts other than the tokens of a single text, such as tool calls or
    /// several choices; such a stream cannot be resumed.
    is_uncountable: bool,
    /// Whether the engine numbers its tokens, so that its final token count can be checked.
    has_token_indexes: bool,
    /// Completion identity that every chunk must carry, if engines name the request in it.
    expected_id: Option<String>,
    /// Completion identity in the chunks of the current attempt.
    ///
    /// Invariant: the expected identity, or else the one in the first chunk of the attempt; all
    /// later chunks carry the same one.
    attempt_id: Option<String>,
    /// Whether the current attempt continues a response that was partly forwarded.
    is_resumed: bool,
}

/// How the relay must handle one event.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum EventStep {
    /// Forward the event to the client.
    Forward,
    /// Drop the event, because the client already has it or needs it only once.
    Skip,
    /// The final marker of the response.
    Done,
    /// The stream is invalid, for the given reason.
    Broken(&'static str),
}

impl StreamCursor {
    /// Creates a cursor at the start of a response. If `expected_id` is set, every chunk must carry
    /// that identity.
    pub(crate) fn new(expected_id: Option<String>) -> Self {
        Self {
            attempt_id: expected_id.clone(),
            expected_id,
            ..Self::default()
        }
    }

    /// Whether another engine can resume the response.
    pub(crate) fn can_resume(&self) -> bool {
        !self.is_uncountable
    }

    /// Prepares the cursor for the next attempt.
    pub(crate) fn begin_attempt(&mut self) {
        self.attempt_id = self.expected_id.clone();
        self.is_resumed = self.has_forwarded;
    }

    /// Validates the next event, and counts its tokens if it is to be forwarded.
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

    /// Whether the engine reports more tokens than arrived.
    ///
    /// A missing token in the middle shows in the number of the next one; only the total shows a
    /// missing last token.
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
            // An engine that ignores the resume fields starts again at the first token, which only
            // token numbers would reveal.
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
