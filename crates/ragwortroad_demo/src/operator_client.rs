use std::time::Duration;

use serde_json::Value;

use crate::DemoError;

/// A client for operators, with several nodes to send lines to.
#[derive(Clone, Debug)]
pub struct OperatorClient {
    /// `IP:port` of nodes, tried in this order until one responds.
    pub nodes: Vec<String>,
    /// The operator's API key.
    pub key: String,
}

/// The response to an operator's line.
#[derive(Clone, Debug, PartialEq)]
pub struct LineResponse {
    /// HTTP status code.
    pub status: u16,
    /// The human-readable text; empty if the response has none.
    pub text: String,
    /// The complete JSON object.
    pub body: Value,
}

/// Timeout of one line; a response to a change waits until the change is in force.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(25);

impl OperatorClient {
    /// Sends a read-only line. Fails if no node responds.
    pub fn ask(&self, line: &str) -> Result<LineResponse, DemoError> {
        self.send(line, None)
    }

    /// Sends a change under a change id; a resend under the same id gets the first outcome. Fails
    /// if no node responds.
    pub fn change(&self, line: &str, id: &str) -> Result<LineResponse, DemoError> {
        self.send(line, Some(id))
    }

    fn send(&self, line: &str, id: Option<&str>) -> Result<LineResponse, DemoError> {
        let mut reason = "no nodes are configured".to_owned();
        for node in &self.nodes {
            match self.send_to(node, line, id) {
                Ok(response) => return Ok(response),
                Err(error) => reason = format!("{node}: {error}"),
            }
        }
        let line = line.to_owned();
        Err(DemoError::Line { line, reason })
    }

    fn send_to(&self, node: &str, line: &str, id: Option<&str>) -> Result<LineResponse, String> {
        let body = serde_json::json!({
            "line": line,
            "may_change": id.is_some(),
            "change_id": id,
        });
        let response = minreq::post(format!("http://{node}/v1/operator"))
            .with_header("Authorization", format!("Bearer {}", self.key))
            .with_header("Content-Type", "application/json")
            .with_body(body.to_string())
            .with_timeout(RESPONSE_TIMEOUT.as_secs())
            .with_follow_redirects(false)
            .send()
            .map_err(|error| error.to_string())?;
        let text = response.as_str().map_err(|error| error.to_string())?;
        // A truncated body is not valid JSON, so its length needs no check.
        let body: Value = serde_json::from_str(text).map_err(|error| error.to_string())?;
        let text = body.get("text").and_then(Value::as_str).unwrap_or_default();
        Ok(LineResponse {
            status: response.status_code as u16,
            text: text.to_owned(),
            body,
        })
    }
}
