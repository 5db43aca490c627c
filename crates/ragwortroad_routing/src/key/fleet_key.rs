/// The endpoints whose loads are compared with each other, as the hash of their common name.
///
/// For engines the name is that of the model served (`tutor-llm` is one fleet), for plain services
/// that of the service.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct FleetKey(pub u64);

impl FleetKey {
    /// The key of the fleet called `name`.
    pub fn from_name(name: &str) -> Self {
        Self(xxhash_rust::xxh3::xxh3_64(name.as_bytes()))
    }
}
