/// Identifies a failure domain (zone) by the hash of its name.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ZoneKey(pub u64);

impl ZoneKey {
    /// Returns the key of the zone called `name`, the same on every node.
    pub fn from_name(name: &str) -> Self {
        Self(xxhash_rust::xxh3::xxh3_64(name.as_bytes()))
    }
}
