//! One node's knowledge of the endpoints, and the choice among them.

pub(crate) mod admission_class;
pub(crate) mod affinity_map;
pub(crate) mod endpoint_facts;
pub(crate) mod endpoint_ranking;
pub(crate) mod endpoint_state;
pub(crate) mod fleet_load;
pub(crate) mod hint_codec;
pub(crate) mod load_bound;
pub(crate) mod load_digest;
pub(crate) mod prefix_index;
pub(crate) mod remote_view;
pub(crate) mod route_choice;
pub(crate) mod route_decision;
pub(crate) mod route_query;
pub(crate) mod route_settings;
pub(crate) mod route_table;
pub(crate) mod slot_answer;
pub(crate) mod slot_grants;
pub(crate) mod slot_ledger;
pub(crate) mod slot_outcome;
pub(crate) mod table_inputs;
