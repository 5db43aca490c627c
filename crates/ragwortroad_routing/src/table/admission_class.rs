/// Whether a request has something to lose by going elsewhere.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum AdmissionClass {
    /// One endpoint is as good as another.
    #[default]
    Arriving,
    /// Its context is at the endpoint.
    Returning,
    /// Its customer was refused everywhere a moment ago.
    Starved,
}
