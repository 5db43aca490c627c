use crate::{
    LanguageError,
    ShowTopic,
    word_cursor::WordCursor, //
};

/// A query of one topic.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ShowQuery {
    /// The topic whose table is queried.
    pub topic: ShowTopic,
    /// Conditions on the rows, all of which must hold.
    pub conditions: Vec<RowCondition>,
}

/// A condition on a row.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RowCondition {
    /// The name of the column.
    pub field: String,
    /// How the cell must compare to the value.
    pub comparison: CellComparison,
    /// The value as written in the query.
    pub value: String,
}

/// A comparison between a cell and a value.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CellComparison {
    /// The cell equals the value.
    Equal,
    /// The cell differs from the value.
    NotEqual,
    /// The cell is less than the value; compared as numbers if both are numbers, otherwise as text.
    Less,
    /// The cell is greater than the value; compared like [`Self::Less`].
    Greater,
}

/// Parses the rest of a line after `show`.
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
            // The `and` between conditions is optional.
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
