use crate::PolicyReport;

/// Returns the columns of the text report as heading and value, in order.
pub(crate) fn text_cells(row: &PolicyReport) -> Vec<(&'static str, String)> {
    vec![
        ("reuse", format!("{:.4}", row.reuse)),
        ("ofplan", format!("{:.4}", row.reuse_of_planner)),
        ("skew50", format!("{:.2}", row.skew_p50)),
        ("skew99", format!("{:.2}", row.skew_p99)),
        ("skewmax", format!("{:.2}", row.skew_max)),
        ("above%", format!("{:.3}", 100.0 * row.above_share)),
        ("aboveMs", row.above_longest_ms.to_string()),
        ("aboveBy", row.above_most.to_string()),
        ("moves‰", format!("{:.1}", row.moves_per_1000)),
        ("asked‰", format!("{:.1}", row.asked_per_1000)),
        ("heldMs", format!("{:.1}", row.held_mean_ms)),
        ("B/s", format!("{:.0}", row.control_bytes())),
        ("done", row.completed.to_string()),
        ("refused", row.refused.to_string()),
        ("small%", format!("{:.2}", 100.0 * row.refused_small_share)),
        ("limited", row.limited.to_string()),
        ("failed", row.failed.to_string()),
        ("lost", row.lost.to_string()),
        ("ttft50", row.first_token_p50_ms.to_string()),
        ("ttft95", row.first_token_p95_ms.to_string()),
        ("small95", row.first_token_small_p95_ms.to_string()),
    ]
}
