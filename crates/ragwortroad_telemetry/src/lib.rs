//! Metrics of one process: their names, and the page they are read from.
//!
//! The number of series is bounded: labels name kinds of requests, outcomes and reasons, never a
//! request, a customer or an endpoint.

pub mod metric_names;
mod metrics_page;

/// Everything a dependent crate usually needs.
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
