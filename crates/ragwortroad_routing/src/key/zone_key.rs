/// A failure domain (zone), as the hash of its name.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ZoneKey(pub u64);

impl ZoneKey {
    /// The key of the zone called `name`.
    pub fn from_name(name: &str) -> Self {
        Self(xxhash_rust::xxh3::xxh3_64(name.as_bytes()))
    }
}
