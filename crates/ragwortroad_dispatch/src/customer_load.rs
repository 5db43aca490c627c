use serde::{
    Deserialize,
    Serialize, //
};
use xxhash_rust::xxh3::xxh3_64;

use crate::ServiceTag;

/// Identifies a customer in messages: a hash of its name.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct CustomerTag(pub u32);

impl CustomerTag {
    /// Returns the tag of a customer's name.
    pub fn of(name: &str) -> Self {
        Self(xxh3_64(name.as_bytes()) as u32)
    }
}

/// What a customer uses and wants of a service, at one edge or summed over several.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct CustomerLoad {
    /// The service.
    pub service: ServiceTag,
    /// The customer.
    pub customer: CustomerTag,
    /// Slots in use.
    pub running: u32,
    /// Slots that it would use if there were room, including those in use.
    pub wanted: u32,
}

impl CustomerLoad {
    /// Returns whether nothing is used or wanted.
    pub fn is_empty(&self) -> bool {
        self.running == 0 && self.wanted == 0
    }
}
