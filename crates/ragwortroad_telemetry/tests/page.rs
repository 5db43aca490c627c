//! Rendering of the metrics page.

use ragwortroad_telemetry::prelude::*;

#[test]
fn metrics_page_lists_counters_and_histograms() {
    let page = MetricsPage::install().expect("first recorder of this process");
    let labels = [("kind", "safe"), ("outcome", "answered"), ("reason", "")];
    metrics::counter!(metric_names::REQUESTS, &labels).increment(3);
    metrics::histogram!(metric_names::ANSWER_SECONDS, "kind" => "safe").record(0.03);
    let text = page.render();
    assert!(
        text.contains(
            "ragwortroad_requests_total{kind=\"safe\",outcome=\"answered\",reason=\"\"} 3"
        ),
        "{text}"
    );
    assert!(
        text.contains("ragwortroad_answer_seconds_bucket{kind=\"safe\",le=\"0.05\"} 1"),
        "{text}"
    );
    assert!(
        MetricsPage::install().is_err(),
        "a second recorder must be rejected"
    );
}
