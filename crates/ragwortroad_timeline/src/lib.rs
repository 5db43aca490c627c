//! Typed events, a hybrid logical clock, and the merged timeline of all processes.
//!
//! Each node stamps its events with a [`HybridClock`] and stores them in a bounded [`EventRing`].
//! A [`FleetTimeline`] merges the events of several nodes in causal order, even if their clocks are
//! skewed, and formats them as text, JSON, a trace in the trace-event format, or a self-contained
//! HTML page.
//!
//! ```
//! use ragwortroad_timeline::prelude::*;
//!
//! let mut clock = HybridClock::default();
//! let mut ring = EventRing::new(RingSettings::default());
//! ring.record(FleetEvent {
//!     stamp: clock.now(1_000),
//!     term: Some(3),
//!     ..FleetEvent::new(EventKind::LeaderElected)
//! });
//! let part = ring.query("north-1", "zone-a", &EventFilter::default(), 100);
//! let timeline = FleetTimeline::merge(vec![part], Vec::new());
//! assert!(timeline.to_text().contains("leader_elected"));
//! ```

mod event_filter;
mod event_kind;
mod event_ring;
mod fleet_event;
mod fleet_timeline;
mod hybrid_clock;
mod hybrid_time;
mod node_timeline;
mod page;
mod text_form;
mod timeline_error;
mod timeline_forms;
mod trace_form;
mod utc_time;

/// The items that dependent crates usually import.
pub mod prelude {
    pub use crate::{
        event_filter::EventFilter,
        event_kind::EventKind,
        event_ring::{
            EventRing,
            RingSettings, //
        },
        fleet_event::FleetEvent,
        fleet_timeline::{
            FleetTimeline,
            PlacedEvent,
            UnreachableNode, //
        },
        hybrid_clock::HybridClock,
        hybrid_time::HybridTime,
        node_timeline::NodeTimeline,
        timeline_error::TimelineError, //
    };
}

pub use prelude::*;
