use std::{
    fmt,
    sync::Arc, //
};

use ragwortroad_types::prelude::*;

/// Renders a page on demand.
type PageMaker = Arc<dyn Fn() -> String + Send + Sync>;

/// Renders a page from the SHA-256 of an operator key and a query string.
type QueryMaker = Arc<dyn Fn([u8; 32], &str) -> Result<String, RefusalWire> + Send + Sync>;

/// Pages that other components render and the gateway serves.
///
/// The closures run on traffic threads, so they must not block for long.
#[derive(Clone)]
pub struct GatewayPages {
    /// Renders the metrics in the Prometheus text format.
    pub metrics: PageMaker,
    /// Renders the timeline, one JSON object per line; checks the operator key itself.
    pub timeline: QueryMaker,
}

impl Default for GatewayPages {
    fn default() -> Self {
        Self {
            metrics: Arc::new(String::new),
            timeline: Arc::new(|_, _| Ok(String::new())),
        }
    }
}

impl fmt::Debug for GatewayPages {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("GatewayPages")
    }
}
