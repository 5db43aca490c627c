use std::fmt;

use snafu::Snafu;

/// What is wrong with a word of a line.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum LanguageFault {
    /// The line has no word.
    #[snafu(display("the line is empty; try 'help'"))]
    EmptyLine,
    /// The line is too long.
    #[snafu(display("the line has {length} bytes; keep it below {most}"))]
    LongLine {
        /// Its length.
        length: usize,
        /// The most allowed.
        most: usize,
    },
    /// A character that no word begins with.
    #[snafu(display("no word begins like this; close a quoted word with '\"'"))]
    BadCharacter,
    /// Not one of the words that can stand here.
    #[snafu(display("{word:?} cannot stand here; {}", choices(nearest.as_deref(), expected)))]
    UnknownWord {
        /// The word.
        word: String,
        /// What can stand here.
        expected: Vec<String>,
        /// The one of them that is nearest to the word.
        nearest: Option<String>,
    },
    /// The line ends too early.
    #[snafu(display("the line ends too early; add {wanted}"))]
    UnexpectedEnd {
        /// What must follow.
        wanted: String,
    },
    /// The line is complete before this word.
    #[snafu(display("{word:?} is one word too many; remove it and what follows"))]
    TrailingWord {
        /// The word.
        word: String,
    },
    /// A value has the wrong form.
    #[snafu(display("{word:?} is not {what}; write it like {example}"))]
    BadValue {
        /// The value as written.
        word: String,
        /// What it should be.
        what: String,
        /// An example.
        example: String,
    },
}

/// What is wrong with a line, and where.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LanguageError {
    /// What is wrong.
    pub fault: LanguageFault,
    /// The first character of the word that it is about, counted from 1.
    ///
    /// Invariant: a character of the line, or 1 where the line is empty.
    pub column: usize,
    /// Characters of the word; at least 1.
    pub width: usize,
    /// The line.
    pub line: String,
}

impl LanguageError {
    /// A fault at the bytes `from..to` of `line`.
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

    /// The line below which carets mark the word.
    pub fn caret_lines(&self) -> String {
        let marked = self.line.chars().take(self.column - 1);
        // A tab is as wide below as it is above.
        let space = |sign| if sign == '\t' { '\t' } else { ' ' };
        let indent: String = marked.map(space).collect();
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
