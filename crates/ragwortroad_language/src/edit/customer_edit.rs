//! Parses edits of customers.

use ragwortroad_state::prelude::*;

use crate::{
    LanguageError,
    word_cursor::WordCursor,
    word_value::{
        key_hash,
        number,
        rate, //
    }, //
};

const CUSTOMER: &str = "a customer's NAME";
pub(super) const KEY_HASH: &str = "a key's SHA-256";
pub(super) const KEY_HASH_EXAMPLE: &str = "the 64 hex digits of 'printf KEY | sha256sum'";

type ParseResult = Result<(), LanguageError>;

/// Parses `NAME [rate 20/s] [tokens 40000/s] [concurrent 30] [weight 100] [priority 100]`.
pub(super) fn add(cursor: &mut WordCursor<'_>, edits: &mut Vec<ConfigEdit>) -> ParseResult {
    let customer = cursor.text(CUSTOMER)?;
    edits.push(ConfigEdit::AddCustomer {
        customer: customer.clone(),
    });
    if !cursor.at_statement_end() {
        let limits = limits(cursor)?;
        edits.push(ConfigEdit::SetLimits { customer, limits });
    }
    Ok(())
}

/// Parses `NAME`.
pub(super) fn remove(cursor: &mut WordCursor<'_>, edits: &mut Vec<ConfigEdit>) -> ParseResult {
    let customer = cursor.text(CUSTOMER)?;
    edits.push(ConfigEdit::RemoveCustomer { customer });
    Ok(())
}

/// Parses `NAME [rate 20/s] [tokens 40000/s] [concurrent 30] [weight 100] [priority 100]`.
pub(super) fn set(cursor: &mut WordCursor<'_>, edits: &mut Vec<ConfigEdit>) -> ParseResult {
    let customer = cursor.text(CUSTOMER)?;
    let limits = limits(cursor)?;
    edits.push(ConfigEdit::SetLimits { customer, limits });
    Ok(())
}

fn limits(cursor: &mut WordCursor<'_>) -> Result<LimitsEdit, LanguageError> {
    let names = ["rate", "tokens", "concurrent", "weight", "priority"];
    let mut limits = LimitsEdit::default();
    let mut name = cursor.choice(&names)?;
    loop {
        match name {
            "rate" => limits.requests_per_s = Some(cursor.value("a rate", "20/s", rate)?),
            "tokens" => limits.tokens_per_s = Some(cursor.value("a rate", "40000/s", rate)?),
            "concurrent" => limits.concurrent = Some(cursor.value("a number", "30", number)?),
            "weight" => limits.weight = Some(cursor.value("a number", "100", number)?),
            _ => limits.priority = Some(cursor.value("a number up to 255", "100", number)?),
        }
        match cursor.option(&names)? {
            Some(next) => name = next,
            None => return Ok(limits),
        }
    }
}

/// Parses `CUSTOMER HASH`.
pub(super) fn add_key(cursor: &mut WordCursor<'_>, edits: &mut Vec<ConfigEdit>) -> ParseResult {
    let customer = cursor.text(CUSTOMER)?;
    let key = cursor.value(KEY_HASH, KEY_HASH_EXAMPLE, key_hash)?;
    edits.push(ConfigEdit::AddKey { customer, key });
    Ok(())
}

/// Parses `CUSTOMER HASH`.
pub(super) fn remove_key(cursor: &mut WordCursor<'_>, edits: &mut Vec<ConfigEdit>) -> ParseResult {
    let customer = cursor.text(CUSTOMER)?;
    let key = cursor.value(KEY_HASH, KEY_HASH_EXAMPLE, key_hash)?;
    edits.push(ConfigEdit::RemoveKey { customer, key });
    Ok(())
}

/// Parses `customer NAME model M [adapter A] [version V]` or `customer NAME service S`.
pub(super) fn allow(cursor: &mut WordCursor<'_>, edits: &mut Vec<ConfigEdit>) -> ParseResult {
    cursor.keyword("customer")?;
    let customer = cursor.text(CUSTOMER)?;
    if cursor.choice(&["model", "service"])? == "service" {
        let service = cursor.text("a service's NAME")?;
        edits.push(ConfigEdit::AllowService { customer, service });
        return Ok(());
    }
    let model = cursor.text("a model's NAME")?;
    let (mut adapter, mut version) = (None, None);
    while let Some(part) = cursor.option(&["adapter", "version"])? {
        match part {
            "adapter" => adapter = Some(cursor.text("an adapter's NAME")?),
            _ => version = Some(cursor.text("a version's NAME")?),
        }
    }
    edits.push(ConfigEdit::AllowModel {
        customer,
        model,
        adapter,
        version,
    });
    Ok(())
}

/// Parses `customer NAME model M [adapter A]` or `customer NAME service S`.
pub(super) fn deny(cursor: &mut WordCursor<'_>, edits: &mut Vec<ConfigEdit>) -> ParseResult {
    cursor.keyword("customer")?;
    let customer = cursor.text(CUSTOMER)?;
    if cursor.choice(&["model", "service"])? == "service" {
        let service = cursor.text("a service's NAME")?;
        edits.push(ConfigEdit::DenyService { customer, service });
        return Ok(());
    }
    let model = cursor.text("a model's NAME")?;
    let mut adapter = None;
    if cursor.option(&["adapter"])?.is_some() {
        adapter = Some(cursor.text("an adapter's NAME")?);
    }
    edits.push(ConfigEdit::DenyModel {
        customer,
        model,
        adapter,
    });
    Ok(())
}

/// Parses `keys CUSTOMER`.
pub(super) fn forget(cursor: &mut WordCursor<'_>, edits: &mut Vec<ConfigEdit>) -> ParseResult {
    cursor.keyword("keys")?;
    let customer = cursor.text(CUSTOMER)?;
    edits.push(ConfigEdit::ForgetKeys { customer });
    Ok(())
}
