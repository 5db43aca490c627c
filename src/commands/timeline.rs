//! `timeline`: events of all nodes in one order.

use ragwortroad_demo::prelude::*;
use ragwortroad_timeline::prelude::*;
use ragwortroad_types::prelude::*;

use crate::{
    command_line::{
        TimelineForm,
        TimelineOptions, //
    },
    commands::operator,
    exit_status::ExitStatus, //
};

/// Gathers and prints the time line.
pub(crate) fn run(options: &TimelineOptions) -> ExitStatus {
    let client = match operator::client(&options.access) {
        Ok(client) => client,
        Err(status) => return status,
    };
    let filter = match filter(options) {
        Ok(filter) => filter,
        Err(reason) => {
            eprintln!("{reason}");
            return ExitStatus::BadInput;
        }
    };
    let line = match collect_timeline(&client, &filter) {
        Ok(line) => line,
        Err(error) => {
            eprintln!("{error}");
            return ExitStatus::Unusable;
        }
    };
    match options.format {
        TimelineForm::Text => print!("{}", line.to_text()),
        TimelineForm::Json => println!("{}", line.to_json()),
        TimelineForm::Trace => println!("{}", line.to_trace()),
        TimelineForm::Html => println!("{}", line.to_html()),
    }
    ExitStatus::Done
}

/// The filter that the options describe.
fn filter(options: &TimelineOptions) -> Result<EventFilter, String> {
    let request = options.request.as_deref().map(|text| {
        let number = u64::from_str_radix(text, 16);
        let number = number.map_err(|_| format!("'{text}' is not a request; give 16 hex digits"));
        number.map(RequestId)
    });
    let customer = options.customer.as_deref().unwrap_or_default();
    let chat = options.chat.as_deref();
    Ok(EventFilter {
        request: request.transpose()?,
        chat: chat.map(|chat| ChatKey::from_parts(customer, chat)),
        customer: options.customer.clone(),
        endpoint: options.endpoint.clone(),
        kinds: options.kind.clone(),
        from_ms: options.from_ms,
        until_ms: options.until_ms,
    })
}
