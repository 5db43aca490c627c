use serde::{
    Deserialize,
    de::DeserializeOwned, //
};
use serde_json::Value;
use snafu::ResultExt;

use crate::{
    BenchFigures,
    LoadFigures,
    ReportError,
    report_error::{
        IncompleteSnafu,
        NotJsonSnafu,
        UnknownReportSnafu, //
    }, //
};

/// A parsed measurement file.
#[derive(Clone, Debug, PartialEq)]
pub struct Measurement {
    /// Name of the file, shown as a heading.
    pub name: String,
    /// The contents of the file.
    pub kind: MeasurementKind,
}

/// The contents of a measurement file, by the command that wrote it.
#[derive(Clone, Debug, PartialEq)]
pub enum MeasurementKind {
    /// Report of `load`.
    Load(LoadFigures),
    /// Report of `demo`.
    Demo(DemoFigures),
    /// Report of `bench`.
    Bench(BenchFigures),
}

/// The part of the demonstration's report that a page shows.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize)]
pub struct DemoFigures {
    /// Number of nodes.
    pub nodes: usize,
    /// Results as measured by the clients.
    pub load: LoadFigures,
    /// Load skew: highest over mean number of requests of an engine.
    pub skew: f64,
    /// Mean number of bytes that a node sent to other nodes per second.
    pub control_bytes_per_second: f64,
}

impl Measurement {
    /// Parses the JSON text of one file; the keys of the object determine its kind.
    ///
    /// # Errors
    ///
    /// [`ReportError`] with the file's name if the text is not JSON or is not one of the reports.
    pub fn from_json(name: &str, text: &str) -> Result<Self, ReportError> {
        let value: Value = serde_json::from_str(text).context(NotJsonSnafu { name })?;
        let has = |key: &str| value.get(key).is_some();
        let kind = match (has("policies"), has("load"), has("outcomes")) {
            (true, _, _) => MeasurementKind::Bench(decode_report(name, "bench", value)?),
            (_, true, _) => MeasurementKind::Demo(decode_report(name, "demo", value)?),
            (_, _, true) => MeasurementKind::Load(decode_report(name, "load", value)?),
            _ => return UnknownReportSnafu { name }.fail(),
        };
        let name = name.to_owned();
        Ok(Self { name, kind })
    }
}

fn decode_report<T: DeserializeOwned>(
    name: &str,
    command: &'static str,
    value: Value,
) -> Result<T, ReportError> {
    serde_json::from_value(value).context(IncompleteSnafu { name, command })
}
