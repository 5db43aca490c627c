use ragwortroad_state::prelude::*;

use crate::{
    LanguageError,
    LanguageFault,
    ShowQuery,
    edit,
    show_query,
    word_cursor::WordCursor,
    word_value::number, //
};

/// Maximum length of a line in bytes.
pub const MAX_LINE_BYTES: usize = 16 * 1024;

/// A parsed line.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Statement {
    /// A query.
    Show(ShowQuery),
    /// A configuration change.
    Change(ChangeStatement),
    /// A request for [`HELP_TEXT`](crate::HELP_TEXT).
    Help,
}

/// A change of one or more edits that takes effect as a whole.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ChangeStatement {
    /// The revision that the operator saw; `None` if the line does not name it.
    pub base_revision: Option<u64>,
    /// The edits, in the order of the line.
    pub edits: Vec<ConfigEdit>,
}

impl ChangeStatement {
    /// Builds the command for the log; `base` is used if the line names no base revision.
    pub fn into_command(self, change_id: &str, operator: &str, base: u64) -> ChangeCommand {
        ChangeCommand {
            change_id: change_id.to_owned(),
            base_revision: self.base_revision.unwrap_or(base),
            operator: operator.to_owned(),
            edits: self.edits,
        }
    }
}

/// Parses one line.
pub fn parse_line(line: &str) -> Result<Statement, LanguageError> {
    if line.len() > MAX_LINE_BYTES {
        let fault = LanguageFault::LongLine {
            length: line.len(),
            most: MAX_LINE_BYTES,
        };
        return Err(LanguageError::at(line, 0, 0, fault));
    }
    let mut cursor = WordCursor::new(line)?;
    if cursor.is_done() {
        return Err(LanguageError::at(line, 0, 0, LanguageFault::EmptyLine));
    }
    if cursor.skip_keyword("help") {
        return cursor.finish().map(|()| Statement::Help);
    }
    if cursor.skip_keyword("show") {
        return show_query::parse(&mut cursor).map(Statement::Show);
    }
    parse_change(&mut cursor).map(Statement::Change)
}

fn parse_change(cursor: &mut WordCursor<'_>) -> Result<ChangeStatement, LanguageError> {
    let mut edits = Vec::new();
    loop {
        edit::parse(cursor, &mut edits)?;
        if !cursor.skip_symbol(";") {
            break;
        }
        if cursor.is_done() {
            break;
        }
    }
    let base_revision = parse_base(cursor)?;
    match base_revision {
        None if !cursor.is_done() => return Err(cursor.unknown_word(&[";", "on"])),
        _ => cursor.finish()?,
    }
    Ok(ChangeStatement {
        base_revision,
        edits,
    })
}

fn parse_base(cursor: &mut WordCursor<'_>) -> Result<Option<u64>, LanguageError> {
    if !cursor.skip_keyword("on") {
        return Ok(None);
    }
    cursor.keyword("revision")?;
    cursor.value("a revision", "17", number).map(Some)
}
