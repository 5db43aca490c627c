//! `ask` and `change`: the operators' language over HTTP.

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

/// Asks what is true now.
pub(crate) fn ask(options: &OperatorOptions) -> ExitStatus {
    let client = match client(&options.access) {
        Ok(client) => client,
        Err(status) => return status,
    };
    print_answer(client.ask(&options.line), options.json)
}

/// Makes a change.
pub(crate) fn change(options: &ChangeOptions) -> ExitStatus {
    let question = &options.question;
    let client = match client(&question.access) {
        Ok(client) => client,
        Err(status) => return status,
    };
    let id = options.id.clone().unwrap_or_else(fresh_id);
    eprintln!("change id: {id} (send again with --id {id} if the answer is lost)");
    print_answer(client.change(&question.line, &id), question.json)
}

/// An operator's client with the key from its file.
pub(crate) fn client(access: &OperatorAccess) -> Result<OperatorClient, ExitStatus> {
    Ok(OperatorClient {
        nodes: access.node.clone(),
        key: read_secret(&access.key)?,
    })
}

/// A change id that no other change has: the time and this process.
fn fresh_id() -> String {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    let nanos = now.map_or(0, |span| span.as_nanos());
    format!("{nanos:x}-{:x}", std::process::id())
}

/// Prints the text for a person, or the whole JSON object.
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
