use std::{
    fmt,
    sync::Arc, //
};

use ragwortroad_types::prelude::*;

/// A page made on demand.
type PageMaker = Arc<dyn Fn() -> String + Send + Sync>;

/// A page made from the SHA-256 of an operator's key and a query string.
type QueryMaker = Arc<dyn Fn([u8; 32], &str) -> Result<String, RefusalWire> + Send + Sync>;

/// Pages that others make and the gateway only serves.
///
/// The closures run on traffic threads, so they must not block for long.
#[derive(Clone)]
pub struct GatewayPages {
    /// The Prometheus text page.
    pub metrics: PageMaker,
    /// The time line, one JSON object a line; checks the operator's key itself.
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
