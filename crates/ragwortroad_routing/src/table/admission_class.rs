/// What a request loses if it is not admitted to the endpoint it asks for.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum AdmissionClass {
    /// Nothing: any other endpoint serves it as well.
    #[default]
    Arriving,
    /// Its cached context, which is at the endpoint.
    Returning,
    /// Its last chance: all recent requests of its customer were refused for lack of capacity.
    Starved,
}
