use std::str::FromStr;

use crate::settings_reader::SettingsReader;

/// Format of log entries.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LogFormat {
    /// One line of text per entry.
    #[default]
    Text,
    /// One JSON object per entry.
    Json,
}

impl FromStr for LogFormat {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "text" => Ok(Self::Text),
            "json" => Ok(Self::Json),
            _ => Err("neither 'text' nor 'json'".to_owned()),
        }
    }
}

/// `[log]`: level and format of the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LogSettings {
    /// Format in which entries are written.
    pub format: LogFormat,
    /// Filter directives, such as `info` or `warn,ragwortroad_node=debug`.
    pub level: String,
}

impl Default for LogSettings {
    fn default() -> Self {
        Self {
            format: LogFormat::Text,
            level: "info".to_owned(),
        }
    }
}

impl LogSettings {
    pub(crate) fn read(reader: &mut SettingsReader<'_>) -> Self {
        let default = Self::default();
        let format = reader.optional_value("log", "format", "text");
        Self {
            format: format.unwrap_or(default.format),
            level: reader.text("log", "level").unwrap_or(default.level),
        }
    }
}
