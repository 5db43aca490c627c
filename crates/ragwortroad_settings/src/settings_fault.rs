use std::fmt;

/// A fault in a settings file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettingsFault {
    /// Line in the file, from 1; 0 if the fault concerns the whole file.
    pub line: usize,
    /// `section.key`, or only the section.
    pub key: String,
    /// What is wrong.
    pub message: String,
    /// How to fix it.
    pub remedy: String,
}

impl fmt::Display for SettingsFault {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.line > 0 {
            write!(formatter, "line {}: ", self.line)?;
        }
        write!(formatter, "{}: {}; {}", self.key, self.message, self.remedy)
    }
}

/// All faults of one settings file, in the order of their lines.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FaultList(
    /// Invariant: never empty in an error.
    pub Vec<SettingsFault>,
);

impl fmt::Display for FaultList {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let lines: Vec<String> = self.0.iter().map(SettingsFault::to_string).collect();
        formatter.write_str(&lines.join("\n"))
    }
}

impl std::error::Error for FaultList {}
