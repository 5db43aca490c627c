//! Which engines hold which models, versions of them, and moves of a chat's cache.

pub(crate) mod migration_method;
pub(crate) mod placement_input;
pub(crate) mod placement_plan;
pub(crate) mod version_plan;
