//! The configuration that operators declare: customers, models, services, drains and members.

pub(crate) mod apply_edit;
pub(crate) mod call_pattern;
pub(crate) mod change_config;
pub(crate) mod claim_rules;
pub(crate) mod config_edit;
pub(crate) mod config_fault;
pub(crate) mod customer_entry;
pub(crate) mod drain_target;
pub(crate) mod edit_items;
pub(crate) mod fleet_config;
pub(crate) mod key_hash;
pub(crate) mod key_index;
pub(crate) mod model_edit;
pub(crate) mod model_entry;
pub(crate) mod quorum_loss;
pub(crate) mod service_entry;
pub(crate) mod validate;
