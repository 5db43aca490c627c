//! Converts configuration edits to lines of the language and back.

mod customer_edit;
mod edit_text;
mod fleet_edit;
mod model_edit;

use ragwortroad_state::prelude::*;

use crate::{
    LanguageError,
    word_cursor::WordCursor, //
};

pub use edit_text::edit_text;
pub(crate) use edit_text::permille_text;

/// Keywords that can begin a line.
const STATEMENT_KEYWORDS: [&str; 12] = [
    "show", "add", "remove", "set", "allow", "deny", "drain", "undrain", "roll", "rollback",
    "forget", "help",
];

/// Keywords that can begin an edit after the first.
const EDIT_KEYWORDS: [&str; 10] = [
    "add", "remove", "set", "allow", "deny", "drain", "undrain", "roll", "rollback", "forget",
];

/// Parses one edit, which may add several entries to `edits`.
pub(crate) fn parse(
    cursor: &mut WordCursor<'_>,
    edits: &mut Vec<ConfigEdit>,
) -> Result<(), LanguageError> {
    let keywords: &[&str] = if edits.is_empty() {
        &STATEMENT_KEYWORDS
    } else {
        &EDIT_KEYWORDS
    };
    match cursor.choice(keywords)? {
        "add" => parse_add(cursor, edits),
        "remove" => parse_remove(cursor, edits),
        "set" => parse_set(cursor, edits),
        "allow" => customer_edit::allow(cursor, edits),
        "deny" => customer_edit::deny(cursor, edits),
        "forget" => customer_edit::forget(cursor, edits),
        "drain" => fleet_edit::drain(cursor, edits),
        "undrain" => fleet_edit::undrain(cursor, edits),
        "roll" => model_edit::roll(cursor, edits),
        // Queries and `help` were parsed before.
        _ => model_edit::rollback(cursor, edits),
    }
}

fn parse_add(
    cursor: &mut WordCursor<'_>,
    edits: &mut Vec<ConfigEdit>,
) -> Result<(), LanguageError> {
    let kinds = [
        "customer", "key", "model", "adapter", "service", "member", "operator",
    ];
    match cursor.choice(&kinds)? {
        "customer" => customer_edit::add(cursor, edits),
        "key" => customer_edit::add_key(cursor, edits),
        "model" => model_edit::add(cursor, edits),
        "adapter" => model_edit::add_adapter(cursor, edits),
        "service" => fleet_edit::add_service(cursor, edits),
        "member" => fleet_edit::add_member(cursor, edits),
        _ => fleet_edit::add_operator(cursor, edits),
    }
}

fn parse_remove(
    cursor: &mut WordCursor<'_>,
    edits: &mut Vec<ConfigEdit>,
) -> Result<(), LanguageError> {
    let kinds = [
        "customer", "key", "model", "adapter", "service", "member", "operator",
    ];
    match cursor.choice(&kinds)? {
        "customer" => customer_edit::remove(cursor, edits),
        "key" => customer_edit::remove_key(cursor, edits),
        "model" => model_edit::remove(cursor, edits),
        "adapter" => model_edit::remove_adapter(cursor, edits),
        "service" => fleet_edit::remove_service(cursor, edits),
        "member" => fleet_edit::remove_member(cursor, edits),
        _ => fleet_edit::remove_operator(cursor, edits),
    }
}

fn parse_set(
    cursor: &mut WordCursor<'_>,
    edits: &mut Vec<ConfigEdit>,
) -> Result<(), LanguageError> {
    let kinds = [
        "customer",
        "model",
        "service",
        "multiple",
        "quorum-loss",
        "claims",
    ];
    match cursor.choice(&kinds)? {
        "customer" => customer_edit::set(cursor, edits),
        "model" => model_edit::set(cursor, edits),
        "service" => fleet_edit::set_service(cursor, edits),
        "multiple" => fleet_edit::set_multiple(cursor, edits),
        "quorum-loss" => fleet_edit::set_quorum_loss(cursor, edits),
        _ => fleet_edit::set_claims(cursor, edits),
    }
}
