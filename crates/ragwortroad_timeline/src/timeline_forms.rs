//! The forms in which a time line is printed.

use crate::{
    FleetTimeline,
    page,
    text_form,
    trace_form, //
};

impl FleetTimeline {
    /// One line an event, for a terminal.
    pub fn to_text(&self) -> String {
        text_form::text(self)
    }

    /// One JSON object, for programs.
    pub fn to_json(&self) -> String {
        serde_json::to_string_pretty(self).unwrap_or_default()
    }

    /// A trace in the trace-event format, for trace viewers.
    pub fn to_trace(&self) -> String {
        trace_form::trace(self)
    }

    /// One page without anything to load, for a browser.
    pub fn to_html(&self) -> String {
        page::html(self)
    }
}
