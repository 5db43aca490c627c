use std::collections::VecDeque;

use ragwortroad_types::PrefixKey;

use crate::fake::block_cache::BlockCache;

/// An engine with continuous batching and chunked prefill: each step generates one token for every
/// request whose prefill is complete, and processes a limited number of prompt tokens.
#[derive(Clone, Debug)]
pub(crate) struct FakeEngine {
    pub(crate) cache: BlockCache,
    capacity: usize,
    running: Vec<EngineRequest>,
    waiting: VecDeque<EngineRequest>,
    /// Prompt tokens that the running step processes.
    prefill_budget: u32,
    /// Number of steps started; also the cache's clock.
    step_count: u64,
    /// A step is in progress.
    pub(crate) step_running: bool,
    /// Number of restarts; the end of a step of an earlier incarnation is ignored.
    pub(crate) incarnation: u32,
    /// The engine's process is running.
    pub(crate) alive: bool,
    /// The engine announced that it is leaving.
    pub(crate) leaving: bool,
}

/// A request on an engine.
#[derive(Clone, Debug)]
pub(crate) struct EngineRequest {
    /// Index of the request in the run.
    pub(crate) request: u32,
    /// Blocks of the prompt.
    pub(crate) prompt: Vec<PrefixKey>,
    /// Blocks of the prompt and the answer, with which the chat's next prompt starts.
    pub(crate) prompt_and_answer: Vec<PrefixKey>,
    /// Answer tokens still to generate.
    pub(crate) remaining_tokens: u32,
    /// Prompt tokens still to process; set when the request starts.
    pub(crate) prefill_tokens: u32,
    /// Prompt blocks found in the cache; set when the request starts.
    pub(crate) cached_blocks: u32,
}

/// The outcome of a step for one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum StepOutput {
    /// The request with this index generated its first token; the second number is its count of
    /// cached prompt blocks.
    FirstToken(u32, u32),
    /// The request with this index generated its last token.
    Finished(u32),
}

pub(crate) const BLOCK_TOKENS: u32 = 128;
/// Maximum number of prompt tokens that one step processes.
const MAX_STEP_PREFILL_TOKENS: u32 = 2_048;
const PREFILL_TOKENS_PER_MS: u32 = 10;
/// Fixed duration of a step, and the additional duration for each request in the batch.
const STEP_BASE_US: u64 = 30_000;
const STEP_PER_REQUEST_US: u64 = 250;

impl FakeEngine {
    /// Creates an idle engine with an empty cache.
    pub(crate) fn new(capacity: u32, cache_blocks: usize) -> Self {
        Self {
            cache: BlockCache::new(cache_blocks),
            capacity: capacity as usize,
            running: Vec::new(),
            waiting: VecDeque::new(),
            prefill_budget: 0,
            step_count: 0,
            step_running: false,
            incarnation: 0,
            alive: true,
            leaving: false,
        }
    }

    /// Returns the numbers of running and waiting requests.
    pub(crate) fn load(&self) -> (u32, u32) {
        (self.running.len() as u32, self.waiting.len() as u32)
    }

    /// Adds a request to the waiting queue.
    pub(crate) fn enqueue(&mut self, request: EngineRequest) {
        self.waiting.push_back(request);
    }

    /// Replaces the engine by a new process with an empty cache; returns the requests that are
    /// lost.
    pub(crate) fn restart(&mut self, cache_blocks: usize, alive: bool) -> Vec<u32> {
        let lost = self
            .running
            .iter()
            .chain(&self.waiting)
            .map(|request| request.request)
            .collect();
        let incarnation = self.incarnation + 1;
        *self = Self {
            incarnation,
            alive,
            ..Self::new(self.capacity as u32, cache_blocks)
        };
        lost
    }

    /// Starts a step and returns its duration in milliseconds, or `None` if there are no requests.
    pub(crate) fn begin_step(&mut self) -> Option<u64> {
        self.step_count += 1;
        while self.running.len() < self.capacity {
            let Some(mut request) = self.waiting.pop_front() else {
                break;
            };
            let cached = self.cache.cached_prefix_blocks(&request.prompt);
            // Engines always compute the last token of a prompt, even if every block is cached.
            request.prefill_tokens = ((request.prompt.len() - cached) as u32 * BLOCK_TOKENS).max(1);
            request.cached_blocks = cached as u32;
            self.cache.touch(&request.prompt, self.step_count);
            self.running.push(request);
        }
        self.step_running = !self.running.is_empty();
        if !self.step_running {
            return None;
        }
        let prefill_tokens: u32 = self
            .running
            .iter()
            .map(|request| request.prefill_tokens)
            .sum();
        self.prefill_budget = prefill_tokens.min(MAX_STEP_PREFILL_TOKENS);
        let batch_us = STEP_BASE_US + STEP_PER_REQUEST_US * self.running.len() as u64;
        Some(batch_us.div_ceil(1000) + u64::from(self.prefill_budget / PREFILL_TOKENS_PER_MS))
    }

    /// Ends the running step and returns its outputs.
    pub(crate) fn end_step(&mut self) -> Vec<StepOutput> {
        let mut outputs = Vec::new();
        let mut finished = Vec::new();
        for (index, request) in self.running.iter_mut().enumerate() {
            if request.prefill_tokens > 0 {
                let part = request.prefill_tokens.min(self.prefill_budget);
                request.prefill_tokens -= part;
                self.prefill_budget -= part;
                if request.prefill_tokens == 0 {
                    outputs.push(StepOutput::FirstToken(
                        request.request,
                        request.cached_blocks,
                    ));
                }
                continue;
            }
            request.remaining_tokens = request.remaining_tokens.saturating_sub(1);
            if request.remaining_tokens == 0 {
                outputs.push(StepOutput::Finished(request.request));
                finished.push(index);
            }
        }
        for index in finished.into_iter().rev() {
            let request = self.running.remove(index);
            self.cache
                .touch(&request.prompt_and_answer, self.step_count);
        }
        outputs
    }
}
