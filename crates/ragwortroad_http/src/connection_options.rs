use hyper::{
    HeaderMap,
    header::{
        CONNECTION,
        HeaderName, //
    }, //
};

/// Headers that apply to a single connection.
const HOP_BY_HOP_HEADERS: [&str; 9] = [
    "connection",
    "keep-alive",
    "proxy-connection",
    "proxy-authenticate",
    "proxy-authorization",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// Whether `Connection` has an option, in any of its lines.
pub(crate) fn has_option(headers: &HeaderMap, option: &str) -> bool {
    connection_options(headers).any(|name| name.eq_ignore_ascii_case(option))
}

/// Removes hop-by-hop headers, including those listed in `Connection`.
///
/// If they were forwarded, the next hop could disagree on where the message ends.
pub fn strip_hop_by_hop(headers: &mut HeaderMap) {
    let options = connection_options(headers).filter_map(|name| name.parse().ok());
    let named: Vec<HeaderName> = options.collect();
    for name in named {
        headers.remove(name);
    }
    for name in HOP_BY_HOP_HEADERS {
        headers.remove(name);
    }
}

fn connection_options(headers: &HeaderMap) -> impl Iterator<Item = &str> {
    let values = headers.get_all(CONNECTION).iter();
    let values = values.filter_map(|value| value.to_str().ok());
    values.flat_map(|value| value.split(',')).map(str::trim)
}
