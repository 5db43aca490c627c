use std::ops::Range;

use winnow::{
    ModalResult,
    Parser,
    ascii::multispace0,
    combinator::{
        alt,
        delimited,
        preceded,
        repeat, //
    },
    stream::{
        LocatingSlice,
        Location, //
    },
    token::take_while, //
};

use crate::{
    LanguageError,
    LanguageFault, //
};

/// One word of a line.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct LineWord {
    pub(crate) text: String,
    pub(crate) kind: WordKind,
    /// Byte range in the line, including quotes.
    pub(crate) bytes: Range<usize>,
}

/// How a word is written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum WordKind {
    /// Written without quotes.
    Bare,
    /// Written between quotes; never a keyword.
    Quoted,
    /// One of `;`, `=`, `!=`, `<`, `>`.
    Symbol,
}

type Line<'i> = LocatingSlice<&'i str>;

fn quoted(input: &mut Line<'_>) -> ModalResult<(String, WordKind)> {
    delimited('"', take_while(0.., |character| character != '"'), '"')
        .map(|text: &str| (text.to_owned(), WordKind::Quoted))
        .parse_next(input)
}

fn symbol(input: &mut Line<'_>) -> ModalResult<(String, WordKind)> {
    alt((";", "=", "!=", "<", ">"))
        .map(|text: &str| (text.to_owned(), WordKind::Symbol))
        .parse_next(input)
}

fn bare(input: &mut Line<'_>) -> ModalResult<(String, WordKind)> {
    take_while(1.., |character: char| {
        !character.is_whitespace() && !"\";=!<>".contains(character)
    })
    .map(|text: &str| (text.to_owned(), WordKind::Bare))
    .parse_next(input)
}

fn word(input: &mut Line<'_>) -> ModalResult<LineWord> {
    preceded(multispace0, alt((quoted, symbol, bare)).with_span())
        .map(|((text, kind), bytes)| LineWord { text, kind, bytes })
        .parse_next(input)
}

/// Splits `line` into words. The error points at the position at which no word begins.
pub(crate) fn split_line(line: &str) -> Result<Vec<LineWord>, LanguageError> {
    let mut input = LocatingSlice::new(line);
    let words: ModalResult<Vec<LineWord>> = repeat(0.., word).parse_next(&mut input);
    let rest = input.trim_start();
    if let Ok(words) = words
        && rest.is_empty()
    {
        return Ok(words);
    }
    let from = input.current_token_start() + (input.len() - rest.len());
    let fault = LanguageFault::BadCharacter;
    Err(LanguageError::at(line, from, line.len(), fault))
}
