use ragwortroad_standin::expected_tokens;
use ragwortroad_types::prelude::*;

use crate::{
    CustomerLoad,
    LoadSettings, //
};

/// Builds the body of one turn: the customer's system prompt, all earlier turns with their
/// responses, and the new message.
///
/// The earlier responses are those that a stand-in must have given, so a turn doesn't depend on
/// whether the previous one was answered: clients in an open loop don't wait.
pub(crate) fn chat_turn(
    settings: &LoadSettings,
    customer: &CustomerLoad,
    chat: u64,
    turn: u32,
) -> ChatBody {
    let system_prompt = filler_text(&customer.name, settings.system_prompt_bytes);
    let mut body = ChatBody {
        model: settings.model.clone(),
        messages: vec![ChatMessage::text("system", &system_prompt)],
        max_tokens: Some(settings.answer_tokens),
        chat_id: Some(chat_name(customer, chat)),
        ..ChatBody::default()
    };
    for past_turn in 0..=turn {
        let seed = format!("{} {} {chat} {past_turn}", settings.seed, customer.name);
        let message = filler_text(&seed, settings.message_bytes);
        body.messages.push(ChatMessage::text("user", &message));
        if past_turn < turn {
            let response = expected_tokens(&body).concat();
            body.messages
                .push(ChatMessage::text("assistant", &response));
        }
    }
    body
}

pub(crate) fn chat_name(customer: &CustomerLoad, chat: u64) -> String {
    format!("{}-chat-{chat}", customer.name)
}

/// Returns `length` bytes of text that depend only on `seed`.
fn filler_text(seed: &str, length: usize) -> String {
    let start = xxhash_rust::xxh3::xxh3_64(seed.as_bytes());
    let mut text = String::with_capacity(length + 16);
    let mut index = 0_u64;
    while text.len() < length {
        let word = xxhash_rust::xxh3::xxh3_64_with_seed(&index.to_le_bytes(), start);
        text.push_str(&format!("{word:016x}"));
        index += 1;
    }
    text.truncate(length);
    text
}
