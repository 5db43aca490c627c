//! Parses edits of models.

use ragwortroad_state::prelude::*;

use crate::{
    LanguageError,
    word_cursor::WordCursor,
    word_value::{
        number,
        percent,
        range,
        size, //
    }, //
};

const MODEL: &str = "a model's NAME";
const VERSION: &str = "a version's NAME";
const ADAPTER: &str = "an adapter's NAME";

type ParseResult = Result<(), LanguageError>;

/// Parses `M version V [replicas 2..6] [wanted 3] [size 16gb]`.
pub(super) fn add(cursor: &mut WordCursor<'_>, edits: &mut Vec<ConfigEdit>) -> ParseResult {
    let model = cursor.text(MODEL)?;
    cursor.keyword("version")?;
    let version = cursor.text(VERSION)?;
    let mut replicas = ReplicaRange::default();
    let mut size_mb = 0;
    while let Some(part) = cursor.option(&["replicas", "wanted", "size"])? {
        match part {
            "replicas" => replicas = replica_range(cursor)?,
            "wanted" => replicas.wanted = cursor.value("a number", "3", number)?,
            _ => size_mb = cursor.value("a size", "16gb", size)?,
        }
    }
    edits.push(ConfigEdit::AddModel {
        model,
        version,
        replicas,
        size_mb,
    });
    Ok(())
}

fn replica_range(cursor: &mut WordCursor<'_>) -> Result<ReplicaRange, LanguageError> {
    let (min, max) = cursor.value("a range of replicas", "2..6", range)?;
    Ok(ReplicaRange {
        min,
        max,
        wanted: min,
    })
}

/// Parses `M`.
pub(super) fn remove(cursor: &mut WordCursor<'_>, edits: &mut Vec<ConfigEdit>) -> ParseResult {
    let model = cursor.text(MODEL)?;
    edits.push(ConfigEdit::RemoveModel { model });
    Ok(())
}

/// Parses `M replicas 2..6 [wanted 3]`.
pub(super) fn set(cursor: &mut WordCursor<'_>, edits: &mut Vec<ConfigEdit>) -> ParseResult {
    let model = cursor.text(MODEL)?;
    cursor.keyword("replicas")?;
    let mut replicas = replica_range(cursor)?;
    if cursor.option(&["wanted"])?.is_some() {
        replicas.wanted = cursor.value("a number", "3", number)?;
    }
    edits.push(ConfigEdit::SetReplicas { model, replicas });
    Ok(())
}

/// Parses `A model M`.
pub(super) fn add_adapter(cursor: &mut WordCursor<'_>, edits: &mut Vec<ConfigEdit>) -> ParseResult {
    let (adapter, model) = adapter_of_model(cursor)?;
    edits.push(ConfigEdit::AddAdapter { model, adapter });
    Ok(())
}

/// Parses `A model M`.
pub(super) fn remove_adapter(
    cursor: &mut WordCursor<'_>,
    edits: &mut Vec<ConfigEdit>,
) -> ParseResult {
    let (adapter, model) = adapter_of_model(cursor)?;
    edits.push(ConfigEdit::RemoveAdapter { model, adapter });
    Ok(())
}

fn adapter_of_model(cursor: &mut WordCursor<'_>) -> Result<(String, String), LanguageError> {
    let adapter = cursor.text(ADAPTER)?;
    cursor.keyword("model")?;
    Ok((adapter, cursor.text(MODEL)?))
}

/// Parses `model M to V 25%`.
pub(super) fn roll(cursor: &mut WordCursor<'_>, edits: &mut Vec<ConfigEdit>) -> ParseResult {
    cursor.keyword("model")?;
    let model = cursor.text(MODEL)?;
    cursor.keyword("to")?;
    let version = cursor.text(VERSION)?;
    let percent = cursor.value("a share of new chats", "25%", percent)?;
    edits.push(ConfigEdit::RollModel {
        model,
        version,
        percent,
    });
    Ok(())
}

/// Parses `model M`.
pub(super) fn rollback(cursor: &mut WordCursor<'_>, edits: &mut Vec<ConfigEdit>) -> ParseResult {
    cursor.keyword("model")?;
    let model = cursor.text(MODEL)?;
    edits.push(ConfigEdit::RollBack { model });
    Ok(())
}
