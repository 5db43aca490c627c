//! Open-loop load, reports with percentiles, and checks of what callers saw.
