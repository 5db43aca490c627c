use ragwortroad_timeline::prelude::*;
use serde_json::Value;

use crate::{
    DemoError,
    OperatorClient, //
};

/// Timeout of the request to one node.
const NODE_TIMEOUT_SECONDS: u64 = 10;

/// Collects the timeline from every node that the fleet knows, and lists the nodes that don't
/// respond. Fails if no node responds to `show nodes`.
pub fn collect_timeline(
    client: &OperatorClient,
    filter: &EventFilter,
) -> Result<FleetTimeline, DemoError> {
    let nodes = client.ask("show nodes")?;
    let rows = nodes.body.get("rows").and_then(Value::as_array);
    let mut timelines = Vec::new();
    let mut unreachable = Vec::new();
    for row in rows.into_iter().flatten() {
        let cell = |name: &str| row.get(name).and_then(Value::as_str).unwrap_or_default();
        match query_node(client, cell("address"), filter) {
            Ok(timeline) => timelines.push(timeline),
            Err(reason) => unreachable.push(UnreachableNode {
                node: cell("name").to_owned(),
                reason,
            }),
        }
    }
    Ok(FleetTimeline::merge(timelines, unreachable))
}

/// Requests the timeline of one node.
fn query_node(
    client: &OperatorClient,
    address: &str,
    filter: &EventFilter,
) -> Result<NodeTimeline, String> {
    let filter = serde_json::to_vec(filter).map_err(|error| error.to_string())?;
    let filter = data_encoding::HEXLOWER.encode(&filter);
    let response = minreq::get(format!("http://{address}/v1/timeline?filter={filter}"))
        .with_header("Authorization", format!("Bearer {}", client.key))
        .with_timeout(NODE_TIMEOUT_SECONDS)
        .with_follow_redirects(false)
        .send()
        .map_err(|error| error.to_string())?;
    if response.status_code != 200 {
        return Err(format!("status {}", response.status_code));
    }
    // A truncated body is not valid JSON, so its length needs no check.
    NodeTimeline::from_bytes(response.as_bytes()).map_err(|error| error.to_string())
}
