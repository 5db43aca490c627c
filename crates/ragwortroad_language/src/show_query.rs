use crate::{
    LanguageError,
    ShowTopic,
    word_cursor::WordCursor, //
};

/// A question.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ShowQuery {
    /// What it is about.
    pub topic: ShowTopic,
    /// Which rows of it; all conditions must hold.
    pub conditions: Vec<RowCondition>,
}

/// What a row must fulfil.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RowCondition {
    /// The column.
    pub field: String,
    /// How the cell compares to the value.
    pub comparison: CellComparison,
    /// The value.
    pub value: String,
}

/// How a cell compares to a value.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CellComparison {
    /// They are equal.
    Equal,
    /// They differ.
    NotEqual,
    /// The cell is less, as a number where both are numbers.
    Less,
    /// The cell is greater.
    Greater,
}

/// Reads what follows `show`.
pub(crate) fn parse(cursor: &mut WordCursor<'_>) -> Result<ShowQuery, LanguageError> {
    let names: Vec<&str> = ShowTopic::ALL.iter().map(|topic| topic.name()).collect();
    let name = cursor.choice(&names)?;
    let topic = ShowTopic::ALL
        .into_iter()
        .find(|topic| topic.name() == name)
        .unwrap_or(ShowTopic::Config);
    let mut conditions = Vec::new();
    if !cursor.is_done() {
        cursor.keyword("where")?;
        conditions.push(condition(cursor, topic)?);
        while !cursor.is_done() {
            // Conditions may follow each other with or without 'and'.
            cursor.skip_keyword("and");
            conditions.push(condition(cursor, topic)?);
        }
    }
    Ok(ShowQuery { topic, conditions })
}

fn condition(cursor: &mut WordCursor<'_>, topic: ShowTopic) -> Result<RowCondition, LanguageError> {
    let field = cursor.choice(topic.columns())?.to_owned();
    let comparison = match cursor.choice(&["=", "!=", "<", ">"])? {
        "=" => CellComparison::Equal,
        "!=" => CellComparison::NotEqual,
        "<" => CellComparison::Less,
        _ => CellComparison::Greater,
    };
    let value = cursor.text("a VALUE")?;
    Ok(RowCondition {
        field,
        comparison,
        value,
    })
}
