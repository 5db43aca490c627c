/// What an endpoint's home sends to the other nodes about it, about once a second.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LoadDigest {
    /// Requests admitted to the endpoint and not yet released.
    pub load: u32,
    /// Whether the home ejected the endpoint as an outlier.
    pub ejected: bool,
}
