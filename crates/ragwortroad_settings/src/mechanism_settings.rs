use crate::settings_reader::SettingsReader;

/// `[mechanisms]`: mechanisms of an edge, each of which can be switched off.
///
/// An operator can disable one that misbehaves, or measure its effect. All are enabled unless the
/// file says `false`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MechanismSettings {
    /// Limits on requests in flight, with a queue and refusals at the edge.
    pub admission: bool,
    /// A limit for plain services that adapts to their response times.
    pub plain_limit: bool,
    /// Late requests queue behind those that are still on time.
    pub late_last: bool,
    /// Refused callers are told to wait for as long as the overload has lasted.
    pub long_return: bool,
    /// Requests go to engines that cache their shared text.
    pub text_places: bool,
    /// Edges tell each other which engines read which texts.
    pub told_places: bool,
    /// Engines copy shared text from each other.
    pub text_copies: bool,
    /// Edges tell each other their loads in flight.
    pub told_loads: bool,
    /// Unreachable endpoints receive no requests for a while.
    pub failure_pauses: bool,
    /// Endpoints that fail many requests are avoided.
    pub failing_share: bool,
    /// Requests are sent to a second endpoint where a duplicate is harmless.
    pub repeats: bool,
    /// An endpoint that does not start to answer is abandoned for another one.
    pub silence: bool,
    /// Broken streams resume at another engine within the same answer.
    pub resume: bool,
    /// Requests wait for an edge that is starting.
    pub start_wait: bool,
    /// Requests wait for the engine that caches their text to announce itself.
    pub holder_wait: bool,
    /// Other edges take the requests of an edge that has lost contact with endpoints.
    pub relay: bool,
    /// Engines receive the ranks of requests.
    pub engine_ranks: bool,
    /// Requests for a service with fewer places than edges go through the edges that keep its places.
    pub place_keepers: bool,
    /// Customers share what there is room for when there is too little.
    pub customer_shares: bool,
    /// Requests are admitted and placed by the work that they are expected to take.
    pub request_work: bool,
    /// Endpoints are chosen by how long work takes there now, as all edges know it together.
    pub endpoint_speeds: bool,
    /// After a start, an edge uses what the registries remember of the fleet until they know more.
    pub recall: bool,
}

impl Default for MechanismSettings {
    fn default() -> Self {
        Self {
            admission: true,
            plain_limit: true,
            late_last: true,
            long_return: true,
            text_places: true,
            told_places: true,
            text_copies: true,
            told_loads: true,
            failure_pauses: true,
            failing_share: true,
            repeats: true,
            silence: true,
            resume: true,
            start_wait: true,
            holder_wait: true,
            relay: true,
            engine_ranks: true,
            place_keepers: true,
            customer_shares: true,
            request_work: true,
            endpoint_speeds: true,
            recall: true,
        }
    }
}

impl MechanismSettings {
    /// Returns whether a mechanism needs to know how long runs take.
    pub fn learns_runs(&self) -> bool {
        self.request_work || self.endpoint_speeds
    }

    pub(crate) fn read(reader: &mut SettingsReader<'_>) -> Self {
        let mut is_enabled = |key| {
            let value = reader.optional_value("mechanisms", key, "true");
            value.unwrap_or(true)
        };
        Self {
            admission: is_enabled("admission"),
            plain_limit: is_enabled("plain_limit"),
            late_last: is_enabled("late_last"),
            long_return: is_enabled("long_return"),
            text_places: is_enabled("text_places"),
            told_places: is_enabled("told_places"),
            text_copies: is_enabled("text_copies"),
            told_loads: is_enabled("told_loads"),
            failure_pauses: is_enabled("failure_pauses"),
            failing_share: is_enabled("failing_share"),
            repeats: is_enabled("repeats"),
            silence: is_enabled("silence"),
            resume: is_enabled("resume"),
            start_wait: is_enabled("start_wait"),
            holder_wait: is_enabled("holder_wait"),
            relay: is_enabled("relay"),
            engine_ranks: is_enabled("engine_ranks"),
            place_keepers: is_enabled("place_keepers"),
            customer_shares: is_enabled("customer_shares"),
            request_work: is_enabled("request_work"),
            endpoint_speeds: is_enabled("endpoint_speeds"),
            recall: is_enabled("recall"),
        }
    }
}
