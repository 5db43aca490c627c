use std::fmt;

use snafu::Snafu;

/// What is wrong with a line or one of its words.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum LanguageFault {
    /// The line has no words.
    #[snafu(display("the line is empty; try 'help'"))]
    EmptyLine,
    /// The line is longer than allowed.
    #[snafu(display("the line has {length} bytes; keep it below {most}"))]
    LongLine {
        /// The length in bytes.
        length: usize,
        /// The maximum length in bytes.
        most: usize,
    },
    /// A character that cannot begin a word.
    #[snafu(display("no word begins like this; close a quoted word with '\"'"))]
    BadCharacter,
    /// The word is not one of those allowed here.
    #[snafu(display("{word:?} cannot stand here; {}", choices(nearest.as_deref(), expected)))]
    UnknownWord {
        /// The word as written.
        word: String,
        /// The words allowed here.
        expected: Vec<String>,
        /// The allowed word that is most similar to the one written, if any is similar.
        nearest: Option<String>,
    },
    /// The line ends before it is complete.
    #[snafu(display("the line ends too early; add {wanted}"))]
    UnexpectedEnd {
        /// A description of what is missing.
        wanted: String,
    },
    /// The line was complete before this word.
    #[snafu(display("{word:?} is one word too many; remove it and what follows"))]
    TrailingWord {
        /// The word as written.
        word: String,
    },
    /// A value is malformed or out of range.
    #[snafu(display("{word:?} is not {what}; write it like {example}"))]
    BadValue {
        /// The value as written.
        word: String,
        /// A description of the expected value.
        what: String,
        /// An example of a valid value.
        example: String,
    },
}

/// An error in a line, with its position.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LanguageError {
    /// The kind of error.
    pub fault: LanguageFault,
    /// Column of the first character of the faulty word, counted from 1.
    ///
    /// Invariant: the column of a character of the line, or 1 if the line is empty.
    pub column: usize,
    /// Number of characters of the faulty word; at least 1.
    pub width: usize,
    /// The line as written.
    pub line: String,
}

impl LanguageError {
    /// Creates an error for the bytes `from..to` of `line`.
    pub(crate) fn at(line: &str, from: usize, to: usize, fault: LanguageFault) -> Self {
        let count = line.chars().count();
        let before = line.get(..from).map_or(count, |text| text.chars().count());
        let width = line.get(from..to).map_or(1, |text| text.chars().count());
        let column = before.min(count.saturating_sub(1)) + 1;
        Self {
            fault,
            column,
            width: width.max(1),
            line: line.to_owned(),
        }
    }

    /// Returns the line, and below it carets that mark the faulty word.
    pub fn caret_lines(&self) -> String {
        let marked = self.line.chars().take(self.column - 1);
        // Tabs are kept so that the carets line up.
        let blank = |character| if character == '\t' { '\t' } else { ' ' };
        let indent: String = marked.map(blank).collect();
        format!("{}\n{indent}{}", self.line, "^".repeat(self.width))
    }
}

impl fmt::Display for LanguageError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { fault, column, .. } = self;
        write!(
            formatter,
            "column {column}: {fault}\n{}",
            self.caret_lines()
        )
    }
}

impl std::error::Error for LanguageError {}

fn choices(nearest: Option<&str>, expected: &[String]) -> String {
    let all = expected.join(", ");
    match nearest {
        Some(nearest) if expected.len() > 1 => format!("did you mean '{nearest}'? One of: {all}"),
        Some(nearest) => format!("did you mean '{nearest}'?"),
        None => format!("use one of: {all}"),
    }
}
