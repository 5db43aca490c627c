//! Stand-ins for model engines and plain services, well behaved and not.
