/// Identifies a customer by the hash of its name.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CustomerKey(pub u64);

impl CustomerKey {
    /// Returns the key of the customer called `name`, the same on every node.
    pub fn from_name(name: &str) -> Self {
        Self(xxhash_rust::xxh3::xxh3_64(name.as_bytes()))
    }
}
