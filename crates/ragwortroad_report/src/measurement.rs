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
        NotJsonSnafu, //
        UnknownReportSnafu,
    }, //
};

/// One measurement file.
#[derive(Clone, Debug, PartialEq)]
pub struct Measurement {
    /// The file's name, for headings.
    pub name: String,
    /// What is in it.
    pub kind: MeasurementKind,
}

/// What a measurement file holds.
#[derive(Clone, Debug, PartialEq)]
pub enum MeasurementKind {
    /// A load run.
    Load(LoadFigures),
    /// The demonstration.
    Demo(DemoFigures),
    /// A decision bench.
    Bench(BenchFigures),
}

/// What a page shows of the demonstration's report.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize)]
pub struct DemoFigures {
    /// Nodes that ran.
    pub nodes: usize,
    /// What callers saw.
    pub load: LoadFigures,
    /// Requests on one engine, peak over mean.
    pub skew: f64,
    /// Bytes a node sent to others a second.
    pub control_bytes_per_second: f64,
}

impl Measurement {
    /// Reads the JSON of one file; which kind it is shows in its keys.
    ///
    /// # Errors
    ///
    /// [`ReportError`] with the file's name where the text is none of the reports.
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
