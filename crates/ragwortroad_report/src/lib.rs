//! Generates HTML pages from measurement files.
//!
//! [`Measurement::from_json`] parses the output of `load --json`, `demo --json` and `bench --json`;
//! [`report_page`] formats any number of measurements as one self-contained HTML page with plots.
//!
//! ```
//! use ragwortroad_report::prelude::*;
//!
//! let json = r#"{"seed": 1, "seconds": 2.0, "cache_reuse": 0.8, "outcomes":
//!     [{"kind": "read", "end": "answered", "count": 9}]}"#;
//! let measurement = Measurement::from_json("load.json", json)?;
//! let page = report_page(&[measurement])?;
//! assert!(page.contains("<svg"));
//! # Ok::<(), ReportError>(())
//! ```

mod bench_figures;
mod load_figures;
mod measurement;
mod plot_bars;
mod report_error;
mod report_page;

/// The items that dependent crates usually import.
pub mod prelude {
    pub use crate::{
        bench_figures::{
            BenchFigures,
            PolicyFigures, //
        },
        load_figures::{
            LatencyFigures,
            LoadFigures,
            OutcomeFigures, //
        },
        measurement::{
            DemoFigures,
            Measurement,
            MeasurementKind, //
        },
        report_error::ReportError,
        report_page::report_page, //
    };
}

pub use prelude::*;
