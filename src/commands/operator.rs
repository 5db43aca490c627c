//! `ask` and `change`: send statements of the operators' language over HTTP.

use std::time::{
    SystemTime,
    UNIX_EPOCH, //
};

use ragwortroad_demo::prelude::*;

use crate::{
    command_line::{
        ChangeOptions,
        OperatorAccess,
        OperatorOptions, //
    },
    commands::secret_file::read_secret,
    exit_status::ExitStatus, //
};

/// Sends a query and prints the answer.
pub(crate) fn ask(options: &OperatorOptions) -> ExitStatus {
    let client = match client(&options.access) {
        Ok(client) => client,
        Err(status) => return status,
    };
    print_answer(client.ask(&options.line), options.json)
}

/// Sends a change and prints the answer; the change id goes to standard error.
pub(crate) fn change(options: &ChangeOptions) -> ExitStatus {
    let question = &options.question;
    let client = match client(&question.access) {
        Ok(client) => client,
        Err(status) => return status,
    };
    let id = options.id.clone().unwrap_or_else(generate_change_id);
    eprintln!("change id: {id} (retry with --id {id} if the answer is lost)");
    print_answer(client.change(&question.line, &id), question.json)
}

/// Creates an operator client with the key from the key file.
///
/// # Errors
///
/// [`ExitStatus::Unusable`] if the key cannot be read; the reason has been printed.
pub(crate) fn client(access: &OperatorAccess) -> Result<OperatorClient, ExitStatus> {
    Ok(OperatorClient {
        nodes: access.node.clone(),
        key: read_secret(&access.key)?,
    })
}

/// Generates a change id from the time in nanoseconds and the process id, so that no two changes
/// share one.
fn generate_change_id() -> String {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    let nanos = now.map_or(0, |span| span.as_nanos());
    format!("{nanos:x}-{:x}", std::process::id())
}

/// Prints the human-readable text of an answer, or its whole JSON object.
fn print_answer(answer: Result<LineResponse, DemoError>, as_json: bool) -> ExitStatus {
    let answer = match answer {
        Ok(answer) => answer,
        Err(error) => {
            eprintln!("{error}");
            return ExitStatus::Unusable;
        }
    };
    match as_json {
        true => println!("{}", answer.body),
        false => println!("{}", answer.text),
    }
    match answer.status {
        200..300 => ExitStatus::Done,
        _ => ExitStatus::Failed,
    }
}
