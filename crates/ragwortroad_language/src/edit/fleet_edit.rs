//! Parses edits of services, drains, members, operators and fleet-wide settings.

use ragwortroad_state::prelude::*;

use super::customer_edit::{
    KEY_HASH,
    KEY_HASH_EXAMPLE, //
};
use crate::{
    LanguageError,
    word_cursor::WordCursor,
    word_value::{
        duration, //
        key_hash,
        multiple,
        number,
    }, //
};

const SERVICE: &str = "a service's NAME";
const MEMBER: &str = "a member's NAME";
const OPERATOR: &str = "an operator's NAME";
const REPEATS: [&str; 3] = ["idempotent", "once", "by-method"];

type ParseResult = Result<(), LanguageError>;

/// Parses `S [idempotent|once METHOD PATH]...`.
pub(super) fn add_service(cursor: &mut WordCursor<'_>, edits: &mut Vec<ConfigEdit>) -> ParseResult {
    let service = cursor.text(SERVICE)?;
    edits.push(ConfigEdit::AddService {
        service: service.clone(),
    });
    while let Some(repeat) = cursor.option(&REPEATS)? {
        edits.push(call(cursor, &service, repeat)?);
    }
    Ok(())
}

/// Parses `S`.
pub(super) fn remove_service(
    cursor: &mut WordCursor<'_>,
    edits: &mut Vec<ConfigEdit>,
) -> ParseResult {
    let service = cursor.text(SERVICE)?;
    edits.push(ConfigEdit::RemoveService { service });
    Ok(())
}

/// Parses `S idempotent|once|by-method METHOD PATH ...`.
pub(super) fn set_service(cursor: &mut WordCursor<'_>, edits: &mut Vec<ConfigEdit>) -> ParseResult {
    let service = cursor.text(SERVICE)?;
    let repeat = cursor.choice(&REPEATS)?;
    edits.push(call(cursor, &service, repeat)?);
    while let Some(repeat) = cursor.option(&REPEATS)? {
        edits.push(call(cursor, &service, repeat)?);
    }
    Ok(())
}

fn call(
    cursor: &mut WordCursor<'_>,
    service: &str,
    repeat: &str,
) -> Result<ConfigEdit, LanguageError> {
    let method = cursor.text("a METHOD and a path such as GET /slots/*")?;
    let path = cursor.text("a path such as /slots/*")?;
    let repeat = match repeat {
        "idempotent" => CallRepeat::Idempotent,
        "once" => CallRepeat::Once,
        _ => CallRepeat::ByMethod,
    };
    Ok(ConfigEdit::SetCall {
        service: service.to_owned(),
        pattern: CallPattern { method, path },
        repeat,
    })
}

/// Parses `endpoint|node|domain NAME`.
pub(super) fn drain(cursor: &mut WordCursor<'_>, edits: &mut Vec<ConfigEdit>) -> ParseResult {
    let target = drain_target(cursor)?;
    edits.push(ConfigEdit::Drain { target });
    Ok(())
}

/// Parses `endpoint|node|domain NAME`.
pub(super) fn undrain(cursor: &mut WordCursor<'_>, edits: &mut Vec<ConfigEdit>) -> ParseResult {
    let target = drain_target(cursor)?;
    edits.push(ConfigEdit::Undrain { target });
    Ok(())
}

fn drain_target(cursor: &mut WordCursor<'_>) -> Result<DrainTarget, LanguageError> {
    match cursor.choice(&["endpoint", "node", "domain"])? {
        "endpoint" => cursor.text("an endpoint's NAME").map(DrainTarget::Endpoint),
        "domain" => cursor
            .text("a failure domain's NAME")
            .map(DrainTarget::Domain),
        _ => cursor.text("a node's NAME").map(DrainTarget::Node),
    }
}

/// Parses `1.25`.
pub(super) fn set_multiple(
    cursor: &mut WordCursor<'_>,
    edits: &mut Vec<ConfigEdit>,
) -> ParseResult {
    let permille = cursor.value("a load multiple", "1.25", multiple)?;
    edits.push(ConfigEdit::SetMultiple { permille });
    Ok(())
}

/// Parses `refuse` or `go-on 30s`.
pub(super) fn set_quorum_loss(
    cursor: &mut WordCursor<'_>,
    edits: &mut Vec<ConfigEdit>,
) -> ParseResult {
    let policy = match cursor.choice(&["refuse", "go-on"])? {
        "refuse" => QuorumLoss::Refuse,
        _ => QuorumLoss::GoOn {
            seconds: cursor.value("a span of time", "30s", duration)?,
        },
    };
    edits.push(ConfigEdit::SetQuorumLoss { policy });
    Ok(())
}

/// Parses
/// `[window 24h] [keys 20000] [answer 4096] [budget 1048576] [spent 250000] [skew 60s] [run 600s]`.
pub(super) fn set_claims(cursor: &mut WordCursor<'_>, edits: &mut Vec<ConfigEdit>) -> ParseResult {
    let names = ["window", "keys", "answer", "budget", "spent", "skew", "run"];
    let mut rules = ClaimsEdit::default();
    let mut name = cursor.choice(&names)?;
    loop {
        match name {
            "window" => rules.window_s = Some(cursor.value("a span of time", "24h", duration)?),
            "keys" => rules.per_customer = Some(cursor.value("a number", "20000", number)?),
            "answer" => rules.answer_bytes = Some(cursor.value("bytes", "4096", number)?),
            "budget" => rules.answer_budget = Some(cursor.value("bytes", "1048576", number)?),
            "spent" => rules.spent_per_customer = Some(cursor.value("a number", "250000", number)?),
            "skew" => rules.skew_s = Some(cursor.value("a span of time", "60s", duration)?),
            _ => rules.run_bound_s = Some(cursor.value("a span of time", "10m", duration)?),
        }
        match cursor.option(&names)? {
            Some(next) => name = next,
            None => break,
        }
    }
    edits.push(ConfigEdit::SetClaims { rules });
    Ok(())
}

/// Parses `NAME IP:PORT`.
pub(super) fn add_member(cursor: &mut WordCursor<'_>, edits: &mut Vec<ConfigEdit>) -> ParseResult {
    let member = cursor.text(MEMBER)?;
    let address = cursor.text("the member's IP:PORT")?;
    edits.push(ConfigEdit::AddMember { member, address });
    Ok(())
}

/// Parses `NAME`.
pub(super) fn remove_member(
    cursor: &mut WordCursor<'_>,
    edits: &mut Vec<ConfigEdit>,
) -> ParseResult {
    let member = cursor.text(MEMBER)?;
    edits.push(ConfigEdit::RemoveMember { member });
    Ok(())
}

/// Parses `NAME HASH`.
pub(super) fn add_operator(
    cursor: &mut WordCursor<'_>,
    edits: &mut Vec<ConfigEdit>,
) -> ParseResult {
    let operator = cursor.text(OPERATOR)?;
    let key = cursor.value(KEY_HASH, KEY_HASH_EXAMPLE, key_hash)?;
    edits.push(ConfigEdit::AddOperator { operator, key });
    Ok(())
}

/// Parses `NAME HASH`.
pub(super) fn remove_operator(
    cursor: &mut WordCursor<'_>,
    edits: &mut Vec<ConfigEdit>,
) -> ParseResult {
    let operator = cursor.text(OPERATOR)?;
    let key = cursor.value(KEY_HASH, KEY_HASH_EXAMPLE, key_hash)?;
    edits.push(ConfigEdit::RemoveOperator { operator, key });
    Ok(())
}
