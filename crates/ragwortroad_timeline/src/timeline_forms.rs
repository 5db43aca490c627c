//! The output forms of a timeline.

use crate::{
    FleetTimeline,
    page,
    text_form,
    trace_form, //
};

impl FleetTimeline {
    /// Formats the timeline as text for a terminal, one line per event.
    pub fn to_text(&self) -> String {
        text_form::text(self)
    }

    /// Formats the timeline as one JSON object.
    pub fn to_json(&self) -> String {
        serde_json::to_string_pretty(self).unwrap_or_default()
    }

    /// Formats the timeline in the trace-event format of common trace viewers.
    pub fn to_trace(&self) -> String {
        trace_form::trace(self)
    }

    /// Formats the timeline as a self-contained HTML page that loads no other resource.
    pub fn to_html(&self) -> String {
        page::html(self)
    }
}
