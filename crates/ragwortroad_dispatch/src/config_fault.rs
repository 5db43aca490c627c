use snafu::Snafu;

/// Reason for rejecting a declared configuration.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Snafu)]
#[snafu(visibility(pub))]
pub enum ConfigFault {
    /// The document cannot be parsed.
    #[snafu(display("the document cannot be read: {reason}; send it again in full"))]
    Unreadable {
        /// Error message of the parser.
        reason: String,
    },
    /// A route has a target that is not declared as a service.
    #[snafu(display(
        "route '{route}' leads to service '{service}', which is not declared; declare it or \
         change the route"
    ))]
    UnknownService {
        /// Name of the route.
        route: String,
        /// Name of the undeclared service.
        service: String,
    },
    /// Two routes have the same host and path prefix, so requests cannot be matched to one of them.
    #[snafu(display(
        "route '{route}' has the host and path of another one; remove one of the two"
    ))]
    DuplicateRoute {
        /// Name of the later of the two routes.
        route: String,
    },
    /// The weights of a route's targets do not add up to a positive number, so none would get a
    /// request.
    #[snafu(display("the weights of route '{route}' add up to nothing; give one a weight"))]
    NoWeight {
        /// Name of the route.
        route: String,
    },
    /// The timeout of a route is zero, so every request would fail at once.
    #[snafu(display("route '{route}' has a timeout of 0; give it one above"))]
    NoTimeout {
        /// Name of the route.
        route: String,
    },
    /// Two customers have the same key, so a request's customer would be ambiguous.
    #[snafu(display("customer '{customer}' has a key of another one; give each its own"))]
    SharedKey {
        /// Name of the later of the two customers.
        customer: String,
    },
}
