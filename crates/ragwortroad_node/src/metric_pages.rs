use std::sync::OnceLock;

use metrics_exporter_prometheus::{
    PrometheusBuilder,
    PrometheusHandle, //
};

/// Renders the process's metrics as a Prometheus text page.
pub(crate) struct MetricPages;

/// Global, because the recorder and the macros that write to it are global to the process.
static HANDLE: OnceLock<Option<PrometheusHandle>> = OnceLock::new();

impl MetricPages {
    /// Renders the current metrics; empty if no recorder could be installed.
    pub(crate) fn render() -> String {
        let handle = HANDLE.get_or_init(install);
        handle
            .as_ref()
            .map_or_else(String::new, PrometheusHandle::render)
    }

    /// Installs the recorder. Several nodes in one process share it.
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
