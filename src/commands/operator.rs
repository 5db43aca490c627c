//! `ask` and `change`: the operators' language over HTTP.

use std::time::Duration;

use crate::{
    command_line::{
        ChangeOptions,
        OperatorAccess,
        OperatorOptions, //
    },
    commands::secret_file::read_secret,
    exit_status::ExitStatus, //
};

/// How long one node may take to answer, in seconds: a change waits until it is in force.
const ANSWER_SECONDS: u64 = 30;

/// Asks what is true now.
pub(crate) fn ask(options: &OperatorOptions) -> ExitStatus {
    let body = serde_json::json!({ "line": options.line, "may_change": false });
    send_line(&options.access, &body, options.json)
}

/// Makes a change.
pub(crate) fn change(options: &ChangeOptions) -> ExitStatus {
    let question = &options.question;
    let id = options.id.clone().unwrap_or_else(random_id);
    eprintln!("change id: {id} (send again with --id {id} if the answer is lost)");
    let body = serde_json::json!({
        "line": question.line,
        "may_change": true,
        "change_id": id,
    });
    send_line(&question.access, &body, question.json)
}

/// A change id that no other change has.
fn random_id() -> String {
    let low = std::process::id();
    let high = std::time::SystemTime::now()
        .duration_since(std::time::UNIX_EPOCH)
        .map_or(0, |span| span.as_nanos());
    format!("{high:x}-{low:x}")
}

/// Sends a line to the first node that answers and prints the answer.
fn send_line(access: &OperatorAccess, body: &serde_json::Value, as_json: bool) -> ExitStatus {
    let key = match read_secret(&access.key) {
        Ok(key) => key,
        Err(status) => return status,
    };
    for node in &access.node {
        match post_line(node, &key, body) {
            Ok((status, text)) => return print_answer(status, &text, as_json),
            Err(error) => eprintln!("{node} does not answer: {error}"),
        }
    }
    eprintln!("no node answered; give the address of a running node with --node");
    ExitStatus::Unusable
}

/// One node's status and body.
///
/// The answer's length is compared with its Content-Length: `minreq` hands over a body that ended
/// early as if it were whole.
fn post_line(
    node: &str,
    key: &str,
    body: &serde_json::Value,
) -> Result<(u16, String), minreq::Error> {
    let response = minreq::post(format!("http://{node}/v1/operator"))
        .with_header("Authorization", format!("Bearer {key}"))
        .with_header("Content-Type", "application/json")
        .with_body(body.to_string())
        .with_timeout(Duration::from_secs(ANSWER_SECONDS).as_secs())
        .with_follow_redirects(false)
        .send()?;
    let length = response.headers.get("content-length");
    let expected = length.and_then(|text| text.parse::<usize>().ok());
    if expected.is_some_and(|expected| expected != response.as_bytes().len()) {
        let reason = "the answer ended early";
        return Err(minreq::Error::IoError(std::io::Error::other(reason)));
    }
    let text = response.as_str()?.to_owned();
    Ok((response.status_code as u16, text))
}

/// Prints an answer: the text in it for a person, or the whole JSON object.
fn print_answer(status: u16, text: &str, as_json: bool) -> ExitStatus {
    let parsed: Result<serde_json::Value, _> = serde_json::from_str(text);
    let plain = parsed.ok().and_then(|value| {
        let plain = value.get("text")?.as_str()?;
        Some(plain.to_owned())
    });
    match plain {
        Some(plain) if !as_json => println!("{plain}"),
        _ => println!("{text}"),
    }
    if status < 300 {
        return ExitStatus::Done;
    }
    ExitStatus::Failed
}
