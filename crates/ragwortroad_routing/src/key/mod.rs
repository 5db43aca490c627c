//! `Copy` keys that identify the subjects of routing decisions.

pub(crate) mod customer_key;
pub(crate) mod endpoint_key;
pub(crate) mod fleet_key;
pub(crate) mod offer_key;
pub(crate) mod slot_id;
pub(crate) mod zone_key;
