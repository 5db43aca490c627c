use std::collections::VecDeque;

use ragwortroad_types::PrefixKey;

use crate::fake::block_cache::BlockCache;

/// An engine that batches continuously: in every step each request that is past its prompt gets one
/// token, and a bounded number of prompt tokens is worked off.
#[derive(Clone, Debug)]
pub(crate) struct FakeEngine {
    pub(crate) cache: BlockCache,
    capacity: usize,
    running: Vec<EngineRequest>,
    waiting: VecDeque<EngineRequest>,
    /// Prompt tokens that the step under way works off.
    prefill_budget: u32,
    /// Steps so far, as the cache's clock.
    step_count: u64,
    /// A step is under way.
    pub(crate) step_running: bool,
    /// Counts restarts; a step of an earlier process is void.
    pub(crate) incarnation: u32,
    /// It takes requests.
    pub(crate) alive: bool,
    /// It announced that it leaves.
    pub(crate) leaving: bool,
}

/// One request at an engine.
#[derive(Clone, Debug)]
pub(crate) struct EngineRequest {
    /// Number of the request in the run.
    pub(crate) request: u32,
    /// Its prompt.
    pub(crate) prompt: Vec<PrefixKey>,
    /// Prompt and answer, as the next turn will begin with.
    pub(crate) prompt_and_answer: Vec<PrefixKey>,
    /// Tokens still to generate.
    pub(crate) remaining_tokens: u32,
    /// Prompt tokens still to work off; set when it starts.
    pub(crate) prefill_tokens: u32,
    /// Blocks found in the cache; set when it starts.
    pub(crate) cached_blocks: u32,
}

/// What a step did to one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum StepOutput {
    /// Its first token is out; so many of its blocks were cached.
    FirstToken(u32, u32),
    /// Its answer is whole.
    Finished(u32),
}

/// Tokens of a block.
pub(crate) const BLOCK_TOKENS: u32 = 128;
/// Prompt tokens one step works off at most.
const MAX_STEP_PREFILL_TOKENS: u32 = 2_048;
/// Prompt tokens worked off in a millisecond.
const PREFILL_TOKENS_PER_MS: u32 = 10;
/// Microseconds of a step whatever it does, and for each request in it.
const STEP_BASE_US: u64 = 30_000;
const STEP_PER_REQUEST_US: u64 = 250;

impl FakeEngine {
    /// An idle engine with an empty cache.
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

    /// Requests running and waiting.
    pub(crate) fn load(&self) -> (u32, u32) {
        (self.running.len() as u32, self.waiting.len() as u32)
    }

    /// Takes a request in.
    pub(crate) fn enqueue(&mut self, work: EngineRequest) {
        self.waiting.push_back(work);
    }

    /// Starts over as a new process; what it worked on is lost and returned.
    pub(crate) fn restart(&mut self, cache_blocks: usize, alive: bool) -> Vec<u32> {
        let lost = self
            .running
            .iter()
            .chain(&self.waiting)
            .map(|work| work.request)
            .collect();
        let incarnation = self.incarnation + 1;
        *self = Self {
            incarnation,
            alive,
            ..Self::new(self.capacity as u32, cache_blocks)
        };
        lost
    }

    /// Begins a step; returns how many milliseconds it takes, or nothing if there is no work.
    pub(crate) fn begin_step(&mut self) -> Option<u64> {
        self.step_count += 1;
        while self.running.len() < self.capacity {
            let Some(mut work) = self.waiting.pop_front() else {
                break;
            };
            let cached = self.cache.cached_prefix_blocks(&work.prompt);
            // The last token of a prompt is always computed.
            work.prefill_tokens = ((work.prompt.len() - cached) as u32 * BLOCK_TOKENS).max(1);
            work.cached_blocks = cached as u32;
            self.cache.touch(&work.prompt, self.step_count);
            self.running.push(work);
        }
        self.step_running = !self.running.is_empty();
        if !self.step_running {
            return None;
        }
        let prompt: u32 = self.running.iter().map(|work| work.prefill_tokens).sum();
        self.prefill_budget = prompt.min(MAX_STEP_PREFILL_TOKENS);
        let batch = STEP_BASE_US + STEP_PER_REQUEST_US * self.running.len() as u64;
        Some(batch.div_ceil(1000) + u64::from(self.prefill_budget / PREFILL_TOKENS_PER_MS))
    }

    /// Ends the step under way.
    pub(crate) fn end_step(&mut self) -> Vec<StepOutput> {
        let mut news = Vec::new();
        let mut ended = Vec::new();
        for (index, work) in self.running.iter_mut().enumerate() {
            if work.prefill_tokens > 0 {
                let part = work.prefill_tokens.min(self.prefill_budget);
                work.prefill_tokens -= part;
                self.prefill_budget -= part;
                if work.prefill_tokens == 0 {
                    news.push(StepOutput::FirstToken(work.request, work.cached_blocks));
                }
                continue;
            }
            work.remaining_tokens = work.remaining_tokens.saturating_sub(1);
            if work.remaining_tokens == 0 {
                news.push(StepOutput::Finished(work.request));
                ended.push(index);
            }
        }
        for index in ended.into_iter().rev() {
            let work = self.running.remove(index);
            self.cache.touch(&work.prompt_and_answer, self.step_count);
        }
        news
    }
}
