use std::sync::OnceLock;

use metrics_exporter_prometheus::{
    PrometheusBuilder,
    PrometheusHandle, //
};

/// The process's metrics as a Prometheus text page.
pub(crate) struct MetricPages;

/// The recorder is the process's, as are the macros that write to it.
static HANDLE: OnceLock<Option<PrometheusHandle>> = OnceLock::new();

impl MetricPages {
    /// The page as of now.
    pub(crate) fn render() -> String {
        let handle = HANDLE.get_or_init(install);
        handle
            .as_ref()
            .map_or_else(String::new, PrometheusHandle::render)
    }

    /// Starts recording; several nodes in one process share the recorder.
    pub(crate) fn start() {
        HANDLE.get_or_init(install);
    }
}

fn install() -> Option<PrometheusHandle> {
    match PrometheusBuilder::new().install_recorder() {
        Ok(handle) => Some(handle),
        Err(error) => {
            tracing::warn!(%error, "metrics are not recorded");
            None
        }
    }
}
