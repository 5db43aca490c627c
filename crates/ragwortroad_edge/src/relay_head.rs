//! Headers between two edges, one of which relays requests to the other.

use std::time::Duration;

use hyper::{
    HeaderMap,
    header::{
        HeaderName,
        HeaderValue, //
    }, //
};
use ragwortroad_dispatch::prelude::*;
use snafu::{
    OptionExt,
    Snafu, //
};

/// Header of a relayed request.
const RELAY_HEADER: &str = "ragwortroad-relay";

/// Header of the response to a relayed request.
const VERDICT_HEADER: &str = "ragwortroad-relayed";

/// Header of the response to a relayed request that tells the endpoint's software version.
const VERSION_HEADER: &str = "ragwortroad-version";

/// Stands for a field without a value.
const NO_VALUE: &str = "-";

/// What an edge tells the edge to which it relays a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct RelayHead {
    /// Secret of the receiving edge.
    pub(crate) key: RelayKey,
    /// Time left until the deadline.
    pub(crate) time_left: Duration,
    /// Version of the configuration by which the request was checked.
    pub(crate) config_version: u64,
    /// Id of the event after which the stream resumes.
    pub(crate) last_event_id: Option<u64>,
    /// Software version to which the stream is bound; `None` if it has brought no event.
    pub(crate) version: Option<VersionTag>,
    /// Endpoint whose places the receiving edge keeps; `None` if the request is relayed because the
    /// sending edge has lost contact with endpoints.
    pub(crate) led_to: Option<EndpointTag>,
}

/// A relay header that cannot be parsed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Snafu)]
#[snafu(display("the relay header is invalid; relay only between edges of one version"))]
pub(crate) struct RelayHeadError;

impl From<&RelayHead> for HeaderValue {
    fn from(head: &RelayHead) -> Self {
        let RelayKey(key) = head.key;
        let event = head.last_event_id.map(|event| event.to_string());
        let led_to = head.led_to.map(|EndpointTag(tag)| format!(" {tag:x}"));
        let text = format!(
            "{key:032x} {} {} {} {}{}",
            head.time_left.as_millis(),
            head.config_version,
            event.unwrap_or_else(|| NO_VALUE.to_owned()),
            version_text(head.version),
            led_to.unwrap_or_default()
        );
        Self::from_str(&text).unwrap_or_else(|_| Self::from_static(""))
    }
}

impl TryFrom<&HeaderValue> for RelayHead {
    type Error = RelayHeadError;

    fn try_from(value: &HeaderValue) -> Result<Self, RelayHeadError> {
        let text = value.to_str().ok().context(RelayHeadSnafu)?;
        let mut fields = text.split(' ');
        let mut next = || fields.next().context(RelayHeadSnafu);
        let key = u128::from_str_radix(next()?, 16).ok();
        let millis = next()?.parse().ok();
        let config_version = next()?.parse().ok();
        let last_event_id = match next()? {
            NO_VALUE => None,
            event => Some(event.parse().ok().context(RelayHeadSnafu)?),
        };
        let version = match next()? {
            NO_VALUE => None,
            version => Some(parse_version(version).context(RelayHeadSnafu)?),
        };
        let led_to = fields.next().map(|tag| u32::from_str_radix(tag, 16));
        let led_to = led_to.transpose().ok().context(RelayHeadSnafu)?;
        Ok(Self {
            led_to: led_to.map(EndpointTag),
            key: RelayKey(key.context(RelayHeadSnafu)?),
            time_left: Duration::from_millis(millis.context(RelayHeadSnafu)?),
            config_version: config_version.context(RelayHeadSnafu)?,
            last_event_id,
            version,
        })
    }
}

impl RelayHead {
    /// Adds the header to a request for the edge that has the key.
    pub(crate) fn write(&self, headers: &mut HeaderMap) {
        headers.insert(RELAY_HEADER, self.into());
    }

    /// Removes the header from a request and returns it if another edge of the fleet has sent it.
    ///
    /// A client that sends the header without the key is served like any other client.
    pub(crate) fn take(headers: &mut HeaderMap, key: RelayKey) -> Option<Self> {
        let value = headers.remove(RELAY_HEADER)?;
        let head = Self::try_from(&value).ok()?;
        (head.key == key).then_some(head)
    }
}

fn version_text(version: Option<VersionTag>) -> String {
    version.map_or_else(
        || NO_VALUE.to_owned(),
        |version| format!("{:08x}{:08x}", version.service.0, version.version),
    )
}

fn parse_version(text: &str) -> Option<VersionTag> {
    let number = u64::from_str_radix(text, 16).ok()?;
    Some(VersionTag {
        service: ServiceTag((number >> 32) as u32),
        version: number as u32,
    })
}

/// Tells the edge that relayed a request the software version of the endpoint that responds.
pub(crate) fn write_version(headers: &mut HeaderMap, version: VersionTag) {
    let value = HeaderValue::from_str(&version_text(Some(version)));
    headers.extend(
        value
            .ok()
            .map(|value| (HeaderName::from_static(VERSION_HEADER), value)),
    );
}

/// Removes the software version from the response of an edge.
pub(crate) fn take_version(headers: &mut HeaderMap) -> Option<VersionTag> {
    let value = headers.remove(VERSION_HEADER)?;
    parse_version(value.to_str().ok()?)
}

/// What became of a relayed request at the edge that received it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RelayVerdict {
    /// The response is an endpoint's.
    Answered,
    /// The request was sent to no endpoint.
    NotSent,
    /// An endpoint rejected the request without running it.
    NotRun,
    /// The configuration does not allow the request.
    Denied,
    /// An endpoint may have run the request.
    Unknown,
}

impl From<RelayVerdict> for HeaderValue {
    fn from(verdict: RelayVerdict) -> Self {
        Self::from_static(match verdict {
            RelayVerdict::Answered => "answered",
            RelayVerdict::NotSent => "not-sent",
            RelayVerdict::NotRun => "not-run",
            RelayVerdict::Denied => "denied",
            RelayVerdict::Unknown => "unknown",
        })
    }
}

impl RelayVerdict {
    /// Adds the header to a response for the edge that relayed the request.
    pub(crate) fn write(self, headers: &mut HeaderMap) {
        headers.insert(VERDICT_HEADER, self.into());
    }

    /// Removes the header from a response; without it, the request may have run.
    pub(crate) fn take(headers: &mut HeaderMap) -> Self {
        let value = headers.remove(VERDICT_HEADER);
        match value.as_ref().map(HeaderValue::as_bytes) {
            Some(b"answered") => Self::Answered,
            Some(b"not-sent") => Self::NotSent,
            Some(b"not-run") => Self::NotRun,
            Some(b"denied") => Self::Denied,
            _ => Self::Unknown,
        }
    }
}
