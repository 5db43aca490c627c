use winnow::{
    ModalResult,
    Parser, //
};

use crate::{
    LanguageError,
    LanguageFault,
    line_word::{
        LineWord,
        WordKind,
        split_line, //
    }, //
};

/// Minimum Jaro-Winkler similarity for suggesting a word.
const MIN_SIMILARITY: f64 = 0.6;

/// Reads a line word by word.
pub(crate) struct WordCursor<'a> {
    line: &'a str,
    words: Vec<LineWord>,
    position: usize,
}

impl<'a> WordCursor<'a> {
    /// Splits `line` into words and starts at the first one.
    pub(crate) fn new(line: &'a str) -> Result<Self, LanguageError> {
        Ok(Self {
            line,
            words: split_line(line)?,
            position: 0,
        })
    }

    fn peek(&self) -> Option<&LineWord> {
        self.words.get(self.position)
    }

    /// Whether all words were read.
    pub(crate) fn is_done(&self) -> bool {
        self.peek().is_none()
    }

    /// Whether a statement ends here: at the end of the line, at `;` or before `on revision`.
    pub(crate) fn at_statement_end(&self) -> bool {
        self.is_done() || self.is_symbol(";") || self.is_keyword("on")
    }

    fn is_symbol(&self, symbol: &str) -> bool {
        self.peek()
            .is_some_and(|word| word.kind == WordKind::Symbol && word.text == symbol)
    }

    fn is_keyword(&self, keyword: &str) -> bool {
        self.peek().is_some_and(|word| {
            word.kind == WordKind::Bare && word.text.eq_ignore_ascii_case(keyword)
        })
    }

    /// Reads the symbol if it is next. Returns whether it was.
    pub(crate) fn skip_symbol(&mut self, symbol: &str) -> bool {
        let found = self.is_symbol(symbol);
        self.position += usize::from(found);
        found
    }

    /// Reads the keyword if it is next. Returns whether it was.
    pub(crate) fn skip_keyword(&mut self, keyword: &str) -> bool {
        let found = self.is_keyword(keyword);
        self.position += usize::from(found);
        found
    }

    /// Reads one of `choices`, which may be keywords or symbols.
    pub(crate) fn choice<'c>(&mut self, choices: &[&'c str]) -> Result<&'c str, LanguageError> {
        let wanted = format!("one of: {}", choices.join(", "));
        let word = self.peek().ok_or_else(|| self.unexpected_end(&wanted))?;
        let fits = |choice: &&&str| {
            word.kind != WordKind::Quoted && word.text.eq_ignore_ascii_case(choice)
        };
        if let Some(found) = choices.iter().find(fits) {
            self.position += 1;
            return Ok(found);
        }
        Err(self.unknown_word(choices))
    }

    /// Reads the keyword, which must be next.
    pub(crate) fn keyword(&mut self, keyword: &str) -> Result<(), LanguageError> {
        self.choice(&[keyword]).map(|_| ())
    }

    /// Reads one of `choices` unless the statement ends here.
    pub(crate) fn option<'c>(
        &mut self,
        choices: &[&'c str],
    ) -> Result<Option<&'c str>, LanguageError> {
        if self.at_statement_end() {
            return Ok(None);
        }
        self.choice(choices).map(Some)
    }

    /// Reads a name or other free text; `what` describes it in errors.
    pub(crate) fn text(&mut self, what: &str) -> Result<String, LanguageError> {
        let word = self.peek().ok_or_else(|| self.unexpected_end(what))?;
        if word.kind == WordKind::Symbol {
            let example = what.rsplit(' ').next().unwrap_or(what).to_uppercase();
            return Err(self.bad_value(what, &example));
        }
        let text = word.text.clone();
        self.position += 1;
        Ok(text)
    }

    /// Reads a value that `parser` must consume completely; `what` and `example` describe it in
    /// errors.
    pub(crate) fn value<T>(
        &mut self,
        what: &str,
        example: &str,
        mut parser: impl FnMut(&mut &str) -> ModalResult<T>,
    ) -> Result<T, LanguageError> {
        let word = self.peek().ok_or_else(|| self.unexpected_end(what))?;
        let text = word.text.clone();
        let value = parser.parse(&text).ok();
        let value = value.ok_or_else(|| self.bad_value(what, example))?;
        self.position += 1;
        Ok(value)
    }

    /// Returns an error unless all words were read.
    pub(crate) fn finish(&self) -> Result<(), LanguageError> {
        let Some(word) = self.peek() else {
            return Ok(());
        };
        let fault = LanguageFault::TrailingWord {
            word: word.text.clone(),
        };
        let (from, to) = (word.bytes.start, word.bytes.end);
        Err(LanguageError::at(self.line, from, to, fault))
    }

    /// Returns the error that the next word is none of `choices`.
    pub(crate) fn unknown_word(&self, choices: &[&str]) -> LanguageError {
        let Some(word) = self.peek() else {
            return self.unexpected_end(&format!("one of: {}", choices.join(", ")));
        };
        let fault = LanguageFault::UnknownWord {
            word: word.text.clone(),
            expected: choices.iter().map(|&choice| choice.to_owned()).collect(),
            nearest: nearest(&word.text, choices),
        };
        LanguageError::at(self.line, word.bytes.start, word.bytes.end, fault)
    }

    fn bad_value(&self, what: &str, example: &str) -> LanguageError {
        let Some(word) = self.peek() else {
            return self.unexpected_end(what);
        };
        let fault = LanguageFault::BadValue {
            word: word.text.clone(),
            what: what.to_owned(),
            example: example.to_owned(),
        };
        LanguageError::at(self.line, word.bytes.start, word.bytes.end, fault)
    }

    /// Returns the error that the line is incomplete; it points at the last word.
    pub(crate) fn unexpected_end(&self, wanted: &str) -> LanguageError {
        let fault = LanguageFault::UnexpectedEnd {
            wanted: wanted.to_owned(),
        };
        let bytes = self.words.last().map_or(0..0, |word| word.bytes.clone());
        LanguageError::at(self.line, bytes.start, bytes.end, fault)
    }
}

/// Returns the choice most similar to `word`, if any is similar enough.
fn nearest(word: &str, choices: &[&str]) -> Option<String> {
    let word = word.to_lowercase();
    let similarity = |choice: &&str| (strsim::jaro_winkler(&word, choice) * 1e6) as u64;
    let best = choices.iter().copied().max_by_key(similarity)?;
    let is_similar = strsim::jaro_winkler(&word, best) >= MIN_SIMILARITY;
    is_similar.then(|| best.to_owned())
}
