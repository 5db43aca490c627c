use std::collections::HashMap;

use ragwortroad_dispatch::prelude::*;
use tokio::sync::mpsc::{
    UnboundedReceiver,
    UnboundedSender,
    unbounded_channel, //
};

/// Where the answers of registries to one question go.
type OriginAnswers = UnboundedSender<(SourceKey, OriginAnswer)>;

/// Questions to registries that wait for answers.
#[derive(Debug, Default)]
pub(crate) struct OriginQuestions {
    open: HashMap<u64, OriginAnswers>,
    next_token: u64,
}

impl OriginQuestions {
    /// Opens a question; returns its token and where its answers arrive.
    pub(crate) fn open(&mut self) -> (u64, UnboundedReceiver<(SourceKey, OriginAnswer)>) {
        let (sender, receiver) = unbounded_channel();
        let token = self.next_token;
        self.next_token += 1;
        self.open.insert(token, sender);
        (token, receiver)
    }

    /// Forgets a question that nobody waits for any more.
    pub(crate) fn close(&mut self, token: u64) {
        self.open.remove(&token);
    }

    /// Hands an answer to the request that waits for it.
    pub(crate) fn add_answer(&self, token: u64, source: SourceKey, answer: OriginAnswer) {
        if let Some(answers) = self.open.get(&token) {
            // The request may have been given up.
            answers.send((source, answer)).unwrap_or_default();
        }
    }
}
