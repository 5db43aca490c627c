/// What an endpoint's home tells the other nodes of it, about once a second.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LoadDigest {
    /// Requests at the endpoint.
    pub load: u32,
    /// The home has set it aside as an outlier.
    pub ejected: bool,
}
