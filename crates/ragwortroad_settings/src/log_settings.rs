use std::str::FromStr;

use crate::settings_reader::SettingsReader;

/// How log lines are written.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LogFormat {
    /// One line of text an entry.
    #[default]
    Text,
    /// One JSON object an entry.
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

/// `[log]`: what is logged and how.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LogSettings {
    /// How entries are written.
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
