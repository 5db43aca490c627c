use std::{
    collections::BTreeMap,
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
use metrics_prometheus::Recorder;
use prometheus::{
    HistogramOpts,
    HistogramVec,
    Registry,
    TextEncoder,
    proto::{
        LabelPair,
        MetricFamily, //
    }, //
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
    CONTROL_CALL_SECONDS,
    GATE_WAIT_SECONDS,
    LINK_BYTES,
    LINK_WAIT_SECONDS,
    STREAM_PAUSE_SECONDS, //
};

/// Histogram buckets for durations in seconds, from a local response to the longest request
/// lifetime.
const DURATION_BUCKETS_SECONDS: [f64; 13] = [
    0.005, 0.01, 0.025, 0.05, 0.1, 0.15, 0.25, 0.4, 0.6, 1.0, 2.5, 5.0, 15.0,
];

/// Histogram buckets for endpoint load, in requests.
const LOAD_BUCKETS: [f64; 9] = [0.0, 1.0, 2.0, 4.0, 8.0, 16.0, 32.0, 64.0, 128.0];

/// Histograms with their buckets and labels; others get the library's buckets.
const HISTOGRAMS: &[(&str, &[f64], &[&str])] = &[
    (ANSWER_SECONDS, &DURATION_BUCKETS_SECONDS, &["kind"]),
    (STREAM_PAUSE_SECONDS, &DURATION_BUCKETS_SECONDS, &[]),
    (GATE_WAIT_SECONDS, &DURATION_BUCKETS_SECONDS, &[]),
    (LINK_WAIT_SECONDS, &DURATION_BUCKETS_SECONDS, &[]),
    (
        CONTROL_CALL_SECONDS,
        &DURATION_BUCKETS_SECONDS,
        &["outcome"],
    ),
    (BELIEVED_LOAD, &LOAD_BUCKETS, &[]),
];

/// Interval between two log lines about the traffic to other processes.
const TRAFFIC_LOG_INTERVAL: Duration = Duration::from_secs(10);

/// Delay before accepting again after a failed accept.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(100);

/// The metrics recorder could not be installed.
#[derive(Debug, Snafu)]
pub enum MetricsError {
    /// A histogram was declared twice, or with an invalid name.
    #[snafu(display("cannot declare the histograms: {source}; report this as a bug"))]
    Histogram {
        /// Which declaration is at fault.
        source: prometheus::Error,
    },
    /// The process has a recorder.
    #[snafu(display("cannot install the metrics recorder; install it only once per process"))]
    Installed,
}

/// Exposes the metrics of this process in the Prometheus text format.
#[derive(Clone, Debug)]
pub struct MetricsPage {
    registry: Registry,
}

impl MetricsPage {
    /// Installs the global metrics recorder.
    ///
    /// # Errors
    ///
    /// Fails if the process already has one.
    pub fn install() -> Result<Self, MetricsError> {
        let registry = Registry::new();
        let mut builder = Recorder::builder().with_registry(&registry);
        for (name, buckets, labels) in HISTOGRAMS {
            let options = HistogramOpts::new(*name, *name).buckets(buckets.to_vec());
            let histogram = HistogramVec::new(options, labels).context(HistogramSnafu)?;
            builder = builder.try_with_metric(histogram).context(HistogramSnafu)?;
        }
        let installed = metrics::set_global_recorder(builder.build());
        installed.map_err(|_| MetricsError::Installed)?;
        Ok(Self { registry })
    }

    /// Renders all metrics in the Prometheus text format.
    pub fn render(&self) -> String {
        let rendered = TextEncoder::new().encode_to_string(&self.registry.gather());
        rendered.unwrap_or_else(|error| {
            tracing::error!(%error, "failed to render the metrics");
            String::new()
        })
    }

    /// Logs the bytes queued for other processes by message kind every ten seconds, for as long as the
    /// process runs.
    ///
    /// A page that nobody reads cannot tell afterwards what filled a link.
    pub async fn log_traffic(self) {
        loop {
            sleep(TRAFFIC_LOG_INTERVAL).await;
            let kinds = self.link_bytes();
            if !kinds.is_empty() {
                tracing::info!(?kinds, "bytes sent to other processes");
            }
        }
    }

    /// Bytes queued for other processes since the start, by message kind.
    fn link_bytes(&self) -> BTreeMap<String, u64> {
        let families = self.registry.gather();
        let family = families.iter().find(|family| family.name() == LINK_BYTES);
        let metrics = family.into_iter().flat_map(MetricFamily::get_metric);
        let kinds = metrics.map(|metric| {
            let labels = metric.get_label().iter().map(LabelPair::value);
            let bytes = metric.get_counter().get_value() as u64;
            (labels.collect(), bytes)
        });
        kinds.collect()
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
