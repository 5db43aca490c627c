/// How a request relates to the endpoint that it asks for, which decides its share there.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum AdmissionClass {
    /// The request has no context anywhere; other endpoints serve it as well.
    #[default]
    Arriving,
    /// The request's context is at the endpoint.
    Returning,
    /// The customer's recent requests were all refused for lack of capacity.
    Starved,
}
