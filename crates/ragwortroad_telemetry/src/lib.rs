//! Prometheus metrics of one process: metric names and the HTTP page that exposes them.
//!
//! The number of time series is bounded: labels hold request kinds, outcomes and reasons, never
//! request ids, customers or endpoints.

pub mod metric_names;
mod metrics_page;

/// The items that dependent crates usually import.
pub mod prelude {
    pub use crate::{
        metric_names,
        metrics_page::{
            MetricsError,
            MetricsPage, //
        }, //
    };
}

pub use prelude::*;
