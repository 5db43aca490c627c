//! The replicated state: customers, models, leases, claims, and operators' changes.
