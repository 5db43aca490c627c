//! The operators' query and command language.
//!
//! [`parse_line`] parses a line into a [`Statement`], [`edit_text`] formats an edit as a line, and
//! [`ResultTable`] is the result of a query, as text or JSON.
//!
//! ```
//! use ragwortroad_language::prelude::*;
//!
//! let line = "add customer studio-north rate 20/s; drain endpoint caption-3 on revision 7";
//! let Ok(Statement::Change(change)) = parse_line(line) else {
//!     panic!("this is a change");
//! };
//! assert_eq!(change.base_revision, Some(7));
//! assert_eq!(change.edits.len(), 3);
//!
//! let error = parse_line("show custmers").unwrap_err();
//! assert_eq!(error.column, 6);
//! assert!(error.to_string().contains("did you mean 'customers'?"));
//! ```

mod edit;
mod help_text;
mod language_error;
mod line_word;
mod outcome_text;
mod show_query;
mod show_topic;
mod statement;
mod table;
mod word_cursor;
mod word_value;

/// Everything a dependent crate usually needs.
pub mod prelude {
    pub use crate::{
        edit::edit_text,
        help_text::HELP_TEXT,
        language_error::{
            LanguageError,
            LanguageFault, //
        },
        outcome_text::outcome_text,
        show_query::{
            CellComparison,
            RowCondition,
            ShowQuery, //
        },
        show_topic::ShowTopic,
        statement::{
            ChangeStatement,
            MAX_LINE_BYTES,
            Statement,
            parse_line, //
        },
        table::{
            CellValue,
            ResultTable,
            state_table, //
        }, //
    };
}

pub use prelude::*;
