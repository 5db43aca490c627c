use ragwortroad_standin::expected_tokens;
use ragwortroad_types::prelude::*;

use crate::{
    CustomerLoad,
    LoadSettings, //
};

/// The body of one turn: the customer's plan, all turns so far with their answers, and the new
/// message.
///
/// The answers in it are those that the stand-ins must have given, so the next turn does not hang
/// on whether the last one arrived: callers in an open loop do not wait.
pub(crate) fn chat_turn(
    settings: &LoadSettings,
    customer: &CustomerLoad,
    chat: u64,
    turn: u32,
) -> ChatBody {
    let plan = filler_text(&customer.name, settings.system_prompt_bytes);
    let mut body = ChatBody {
        model: settings.model.clone(),
        messages: vec![ChatMessage::text("system", &plan)],
        max_tokens: Some(settings.answer_tokens),
        chat_id: Some(chat_name(customer, chat)),
        ..ChatBody::default()
    };
    for past in 0..=turn {
        let seed = format!("{} {} {chat} {past}", settings.seed, customer.name);
        let message = filler_text(&seed, settings.message_bytes);
        body.messages.push(ChatMessage::text("user", &message));
        if past < turn {
            let answer = expected_tokens(&body).concat();
            body.messages.push(ChatMessage::text("assistant", &answer));
        }
    }
    body
}

pub(crate) fn chat_name(customer: &CustomerLoad, chat: u64) -> String {
    format!("{}-chat-{chat}", customer.name)
}

/// Text of `length` bytes that depends on `seed` only.
fn filler_text(seed: &str, length: usize) -> String {
    let start = xxhash_rust::xxh3::xxh3_64(seed.as_bytes());
    let mut text = String::with_capacity(length + 16);
    let mut at = 0_u64;
    while text.len() < length {
        let word = xxhash_rust::xxh3::xxh3_64_with_seed(&at.to_le_bytes(), start);
        text.push_str(&format!("{word:016x}"));
        at += 1;
    }
    text.truncate(length);
    text
}
