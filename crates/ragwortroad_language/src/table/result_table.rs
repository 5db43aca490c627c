use serde_json::{
    Map,
    Value,
    json, //
};

use crate::{
    CellValue,
    RowCondition,
    ShowTopic, //
};

/// The table that holds the result of a query.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ResultTable {
    topic: ShowTopic,
    /// Invariant: each row has a cell for each of the topic's columns.
    rows: Vec<Vec<CellValue>>,
}

impl ResultTable {
    /// Creates an empty table with the topic's columns.
    pub fn new(topic: ShowTopic) -> Self {
        Self {
            topic,
            rows: Vec::new(),
        }
    }

    /// Adds a row; missing cells are empty, and cells beyond the columns are dropped.
    pub fn push(&mut self, cells: impl IntoIterator<Item = CellValue>) {
        let width = self.topic.columns().len();
        let mut row: Vec<CellValue> = cells.into_iter().take(width).collect();
        row.resize(width, CellValue::Empty);
        self.rows.push(row);
    }

    /// The rows, each with one cell per column.
    pub fn rows(&self) -> &[Vec<CellValue>] {
        &self.rows
    }

    /// Keeps the rows that satisfy every condition.
    pub fn filtered(mut self, conditions: &[RowCondition]) -> Self {
        let columns = self.topic.columns();
        self.rows.retain(|row| {
            conditions.iter().all(|condition| {
                let index = columns.iter().position(|column| *column == condition.field);
                let cell = index.and_then(|index| row.get(index));
                cell.is_some_and(|cell| cell.matches(condition.comparison, &condition.value))
            })
        });
        self
    }

    /// Formats the table as text with aligned columns.
    pub fn to_text(&self) -> String {
        let columns = self.topic.columns();
        let text: Vec<Vec<String>> = self
            .rows
            .iter()
            .map(|row| row.iter().map(ToString::to_string).collect())
            .collect();
        let width = |index: usize| {
            let cells = text.iter().filter_map(|row| row.get(index));
            let widest = cells.map(|cell| cell.chars().count()).max();
            widest.unwrap_or(0).max(columns[index].len())
        };
        let widths: Vec<usize> = (0..columns.len()).map(width).collect();
        let headings: Vec<String> = columns.iter().map(|name| (*name).to_owned()).collect();
        let numeric: Vec<bool> = (0..columns.len())
            .map(|index| self.is_numeric(index))
            .collect();
        let mut lines = vec![line_text(&headings, &widths, &numeric)];
        lines.extend(text.iter().map(|row| line_text(row, &widths, &numeric)));
        lines.concat()
    }

    /// Whether a column has only numbers and is therefore right-aligned.
    fn is_numeric(&self, index: usize) -> bool {
        let mut cells = self.rows.iter().filter_map(|row| row.get(index));
        !self.rows.is_empty() && cells.all(CellValue::is_number)
    }

    /// Converts the table to JSON: `{"topic": ..., "columns": [...], "rows": [{...}]}`.
    pub fn to_json(&self) -> Value {
        let columns = self.topic.columns();
        let object = |row: &Vec<CellValue>| {
            let cells = columns.iter().zip(row);
            let cells = cells.map(|(name, cell)| ((*name).to_owned(), cell.to_json()));
            Value::Object(cells.collect::<Map<String, Value>>())
        };
        let rows: Vec<Value> = self.rows.iter().map(object).collect();
        json!({ "topic": self.topic.name(), "columns": columns, "rows": rows })
    }
}

fn line_text(cells: &[String], widths: &[usize], numeric: &[bool]) -> String {
    let mut line = String::new();
    for ((cell, width), right) in cells.iter().zip(widths).zip(numeric) {
        let padding = " ".repeat(width.saturating_sub(cell.chars().count()));
        let (before, after) = if *right {
            (&*padding, "")
        } else {
            ("", &*padding)
        };
        line.push_str(before);
        line.push_str(cell);
        line.push_str(after);
        line.push_str("  ");
    }
    format!("{}\n", line.trim_end())
}
