//! `timeline`: merges the events of all nodes into one order.

use ragwortroad_demo::prelude::*;
use ragwortroad_timeline::prelude::*;
use ragwortroad_types::prelude::*;

use crate::{
    command_line::{
        TimelineFormat,
        TimelineOptions, //
    },
    commands::operator,
    exit_status::ExitStatus, //
};

/// Collects the timeline and prints it in the selected format.
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
    let timeline = match collect_timeline(&client, &filter) {
        Ok(timeline) => timeline,
        Err(error) => {
            eprintln!("{error}");
            return ExitStatus::Unusable;
        }
    };
    match options.format {
        TimelineFormat::Text => print!("{}", timeline.to_text()),
        TimelineFormat::Json => println!("{}", timeline.to_json()),
        TimelineFormat::Trace => println!("{}", timeline.to_trace()),
        TimelineFormat::Html => println!("{}", timeline.to_html()),
    }
    ExitStatus::Done
}

/// Converts the options to an event filter.
///
/// # Errors
///
/// The reason as text, if the request id is not hexadecimal.
fn filter(options: &TimelineOptions) -> Result<EventFilter, String> {
    let request = options.request.as_deref().map(|text| {
        let number = u64::from_str_radix(text, 16);
        let number =
            number.map_err(|_| format!("'{text}' is not a request id; give 16 hexadecimal digits"));
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
