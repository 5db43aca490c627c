/// Identifies the endpoints whose loads are compared with each other, by the hash of their common
/// name.
///
/// The name is that of the model for engines (`tutor-llm` is one fleet), and that of the service
/// for plain services.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct FleetKey(pub u64);

impl FleetKey {
    /// Returns the key of the fleet called `name`, the same on every node.
    pub fn from_name(name: &str) -> Self {
        Self(xxhash_rust::xxh3::xxh3_64(name.as_bytes()))
    }
}
