use std::time::Duration;

use serde_json::Value;

use crate::DemoError;

/// An operator who may ask any of several nodes.
#[derive(Clone, Debug)]
pub struct OperatorClient {
    /// `IP:port` of nodes, asked in this order until one answers.
    pub nodes: Vec<String>,
    /// The operator's key.
    pub key: String,
}

/// The answer to an operator's line.
#[derive(Clone, Debug, PartialEq)]
pub struct LineResponse {
    /// HTTP status.
    pub status: u16,
    /// The text for a person.
    pub text: String,
    /// The whole JSON object.
    pub body: Value,
}

/// How long a node may take over a line: a change waits until it is in force.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(25);

impl OperatorClient {
    /// Asks what is true.
    pub fn ask(&self, line: &str) -> Result<LineResponse, DemoError> {
        self.send(line, None)
    }

    /// Makes a change under an id of its own.
    pub fn change(&self, line: &str, id: &str) -> Result<LineResponse, DemoError> {
        self.send(line, Some(id))
    }

    fn send(&self, line: &str, id: Option<&str>) -> Result<LineResponse, DemoError> {
        let mut reason = "no node is known".to_owned();
        for node in &self.nodes {
            match self.send_to(node, line, id) {
                Ok(answer) => return Ok(answer),
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
        // A body that ended early is no JSON object any more.
        let body: Value = serde_json::from_str(text).map_err(|error| error.to_string())?;
        let text = body.get("text").and_then(Value::as_str).unwrap_or_default();
        Ok(LineResponse {
            status: response.status_code as u16,
            text: text.to_owned(),
            body,
        })
    }
}
