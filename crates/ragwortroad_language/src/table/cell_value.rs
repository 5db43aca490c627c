use std::{
    cmp::Ordering,
    fmt, //
};

use serde_json::Value;

use crate::CellComparison;

/// One cell of a table.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub enum CellValue {
    /// No value; `-` in text and `null` in JSON.
    #[default]
    Empty,
    /// A text.
    Text(String),
    /// An unsigned integer.
    Number(u64),
    /// A boolean; `yes` or `no` in text.
    Flag(bool),
}

impl CellValue {
    /// Whether the cell satisfies `comparison` with the value of a condition.
    pub(crate) fn matches(&self, comparison: CellComparison, value: &str) -> bool {
        let order = self.compare(value);
        match comparison {
            CellComparison::Equal => order == Ordering::Equal,
            CellComparison::NotEqual => order != Ordering::Equal,
            CellComparison::Less => order == Ordering::Less,
            CellComparison::Greater => order == Ordering::Greater,
        }
    }

    fn compare(&self, value: &str) -> Ordering {
        if let (Self::Number(number), Ok(value)) = (self, value.parse::<u64>()) {
            return number.cmp(&value);
        }
        self.to_string().as_str().cmp(value)
    }

    pub(crate) fn to_json(&self) -> Value {
        match self {
            Self::Empty => Value::Null,
            Self::Text(text) => Value::from(text.as_str()),
            Self::Number(number) => Value::from(*number),
            Self::Flag(flag) => Value::from(*flag),
        }
    }

    pub(crate) fn is_number(&self) -> bool {
        matches!(self, Self::Number(_))
    }
}

impl fmt::Display for CellValue {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Empty => formatter.write_str("-"),
            Self::Text(text) => formatter.write_str(text),
            Self::Number(number) => write!(formatter, "{number}"),
            Self::Flag(true) => formatter.write_str("yes"),
            Self::Flag(false) => formatter.write_str("no"),
        }
    }
}

impl From<&str> for CellValue {
    fn from(text: &str) -> Self {
        Self::Text(text.to_owned())
    }
}

impl From<String> for CellValue {
    fn from(text: String) -> Self {
        Self::Text(text)
    }
}

impl From<u64> for CellValue {
    fn from(number: u64) -> Self {
        Self::Number(number)
    }
}

impl From<u32> for CellValue {
    fn from(number: u32) -> Self {
        Self::Number(number.into())
    }
}

impl From<usize> for CellValue {
    fn from(number: usize) -> Self {
        Self::Number(number as u64)
    }
}

impl From<bool> for CellValue {
    fn from(flag: bool) -> Self {
        Self::Flag(flag)
    }
}

impl<T: Into<Self>> From<Option<T>> for CellValue {
    fn from(value: Option<T>) -> Self {
        value.map_or(Self::Empty, Into::into)
    }
}
