//! Decisions about requests: placement, load bounds, limits, retries.
