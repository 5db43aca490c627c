use snafu::Snafu;

/// Why a declared configuration cannot come into force.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Snafu)]
#[snafu(visibility(pub))]
pub enum ConfigFault {
    /// The document has no such shape.
    #[snafu(display("the document cannot be read: {reason}; send it again in full"))]
    Unreadable {
        /// What the codec said.
        reason: String,
    },
    /// A target does not exist.
    #[snafu(display(
        "route '{route}' leads to service '{service}', which is not declared; declare it or \
         change the route"
    ))]
    UnknownService {
        /// The route.
        route: String,
        /// What it names.
        service: String,
    },
    /// Nobody could tell which of the two has a request.
    #[snafu(display(
        "route '{route}' has the host and path of another one; remove one of the two"
    ))]
    DuplicateRoute {
        /// The later route.
        route: String,
    },
    /// No target would get a request.
    #[snafu(display("the weights of route '{route}' add up to nothing; give one a weight"))]
    NoWeight {
        /// The route.
        route: String,
    },
    /// Every request would end at once.
    #[snafu(display("route '{route}' has a timeout of 0; give it one above"))]
    NoTimeout {
        /// The route.
        route: String,
    },
    /// Nobody could tell whose request it is.
    #[snafu(display("customer '{customer}' has a key of another one; give each its own"))]
    SharedKey {
        /// The later customer.
        customer: String,
    },
}
