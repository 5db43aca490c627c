use std::{
    convert::Infallible,
    time::Duration, //
};

use bytes::Bytes;
use http_body_util::Full;
use hyper::{
    Request,
    Response,
    body::Incoming,
    header::{
        CONTENT_TYPE,
        HeaderValue, //
    },
    server::conn::http1,
    service::service_fn, //
};
use hyper_util::rt::TokioIo;
use metrics_exporter_prometheus::{
    BuildError,
    Matcher,
    PrometheusBuilder,
    PrometheusHandle, //
};
use snafu::{
    ResultExt,
    Snafu, //
};
use tokio::{
    net::TcpListener,
    task::spawn_local,
    time::sleep, //
};

use crate::metric_names::{
    ANSWER_SECONDS,
    BELIEVED_LOAD,
    STREAM_PAUSE_SECONDS, //
};

/// Histogram buckets for durations in seconds, from a local response to the longest request
/// lifetime.
const DURATION_BUCKETS_SECONDS: [f64; 13] = [
    0.005, 0.01, 0.025, 0.05, 0.1, 0.15, 0.25, 0.4, 0.6, 1.0, 2.5, 5.0, 15.0,
];

/// Histogram buckets for endpoint load, in requests.
const LOAD_BUCKETS: [f64; 9] = [0.0, 1.0, 2.0, 4.0, 8.0, 16.0, 32.0, 64.0, 128.0];

/// Interval at which buffered samples are drained into their histograms. Without it samples
/// accumulate in memory until the page is read.
const UPKEEP_INTERVAL: Duration = Duration::from_secs(5);

/// Delay before accepting again after a failed accept.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(100);

/// The metrics recorder could not be installed.
#[derive(Debug, Snafu)]
#[snafu(display(
    "cannot install the metrics recorder: {source}; install it only once per process"
))]
pub struct MetricsError {
    source: BuildError,
}

/// Exposes the metrics of this process in the Prometheus text format.
#[derive(Clone, Debug)]
pub struct MetricsPage {
    handle: PrometheusHandle,
}

impl MetricsPage {
    /// Installs the global metrics recorder. Fails if the process already has one.
    pub fn install() -> Result<Self, MetricsError> {
        let handle = builder()
            .and_then(PrometheusBuilder::install_recorder)
            .context(MetricsSnafu)?;
        Ok(Self { handle })
    }

    /// Renders all metrics in the Prometheus text format.
    pub fn render(&self) -> String {
        self.handle.render()
    }

    /// Drains buffered samples into histograms every five seconds, for as long as the process runs.
    pub async fn run_upkeep(self) {
        loop {
            sleep(UPKEEP_INTERVAL).await;
            self.handle.run_upkeep();
        }
    }

    /// Serves the page over HTTP on any path, for as long as the process runs.
    pub async fn serve(self, listener: TcpListener) {
        loop {
            let stream = match listener.accept().await {
                Ok((stream, _)) => stream,
                Err(error) => {
                    tracing::warn!(%error, "failed to accept a metrics connection");
                    sleep(ACCEPT_RETRY_DELAY).await;
                    continue;
                }
            };
            let page = self.clone();
            spawn_local(async move {
                let service = service_fn(|request| page.respond(request));
                let served = http1::Builder::new()
                    .keep_alive(false)
                    .serve_connection(TokioIo::new(stream), service)
                    .await;
                if let Err(error) = served {
                    tracing::debug!(%error, "metrics connection failed");
                }
            });
        }
    }

    async fn respond(&self, _: Request<Incoming>) -> Result<Response<Full<Bytes>>, Infallible> {
        let mut response = Response::new(Full::new(Bytes::from(self.render())));
        let content_type = HeaderValue::from_static("text/plain; version=0.0.4");
        response.headers_mut().insert(CONTENT_TYPE, content_type);
        Ok(response)
    }
}

fn builder() -> Result<PrometheusBuilder, BuildError> {
    let exact_name = |name: &str| Matcher::Full(name.to_owned());
    PrometheusBuilder::new()
        .set_buckets_for_metric(exact_name(ANSWER_SECONDS), &DURATION_BUCKETS_SECONDS)?
        .set_buckets_for_metric(exact_name(STREAM_PAUSE_SECONDS), &DURATION_BUCKETS_SECONDS)?
        .set_buckets_for_metric(exact_name(BELIEVED_LOAD), &LOAD_BUCKETS)
}
