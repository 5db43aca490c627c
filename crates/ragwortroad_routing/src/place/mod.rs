//! Placement of models on engines, rollout of their versions, and migration of KV caches.

pub(crate) mod migration_method;
pub(crate) mod placement_input;
pub(crate) mod placement_plan;
pub(crate) mod version_plan;
