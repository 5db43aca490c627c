use std::ops::RangeInclusive;

use hyper::{
    HeaderMap,
    Method,
    Response,
    StatusCode,
    Version,
    header::{
        CONTENT_LENGTH,
        HeaderName,
        TRANSFER_ENCODING, //
    }, //
};
use snafu::{
    OptionExt,
    ensure, //
};

use crate::{
    connection_options::has_option,
    framing_error::{
        CodingAndLengthSnafu,
        CodingInOldVersionSnafu,
        ForbiddenBodySnafu,
        FramingError,
        InvalidLengthSnafu,
        NoFramingSnafu,
        UnknownCodingSnafu,
        UnknownStatusSnafu, //
    },
};

/// Statuses of final responses.
const FINAL_STATUSES: RangeInclusive<u16> = 200..=599;

/// How the body of a response is delimited (RFC 9112, section 6.3).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyFraming {
    /// There is no body.
    Bodiless {
        /// Length in bytes of the body that it stands for, if the head tells it.
        described_length: Option<u64>,
    },
    /// The body has this length in bytes.
    Length(u64),
    /// The body comes in chunks, the last of which is empty.
    Chunked,
    /// The body ends with the connection, whose close was announced.
    CloseDelimited,
}

impl BodyFraming {
    /// Returns how the body of the final response to a request is delimited.
    ///
    /// Where recipients may disagree, the head counts as damaged.
    ///
    /// # Errors
    ///
    /// Fails if the status is not final, if the transfer coding is anything but `chunked`, if the
    /// length is invalid, if there are both or neither without an announced close, or if the status
    /// allows no body.
    pub fn of_response<B>(method: &Method, response: &Response<B>) -> Result<Self, FramingError> {
        let status = response.status().as_u16();
        ensure!(
            FINAL_STATUSES.contains(&status),
            UnknownStatusSnafu { status }
        );
        let is_chunked = parse_coding(response)?;
        let length = parse_length(response.headers())?;
        ensure!(!is_chunked || length.is_none(), CodingAndLengthSnafu);
        let is_empty = match response.status() {
            StatusCode::NO_CONTENT | StatusCode::RESET_CONTENT => {
                let has_body = is_chunked || length.is_some_and(|length| length > 0);
                ensure!(!has_body, ForbiddenBodySnafu { status });
                response.status() == StatusCode::NO_CONTENT
            }
            status => status == StatusCode::NOT_MODIFIED,
        };
        if is_empty || *method == Method::HEAD {
            let is_described = response.status() != StatusCode::NO_CONTENT;
            return Ok(Self::Bodiless {
                described_length: length.filter(|_| is_described),
            });
        }
        match (is_chunked, length) {
            (true, _) => Ok(Self::Chunked),
            (false, Some(length)) => Ok(Self::Length(length)),
            (false, None) => {
                ensure!(closes_connection(response), NoFramingSnafu);
                Ok(Self::CloseDelimited)
            }
        }
    }

    /// Whether the head tells how long the body is.
    pub fn announces_length(self) -> bool {
        matches!(self, Self::Bodiless { .. } | Self::Length(_))
    }

    /// Whether a body that was cut off can be told from a complete one.
    pub fn marks_end(self) -> bool {
        self != Self::CloseDelimited
    }
}

/// Returns whether the body is chunked.
fn parse_coding<B>(response: &Response<B>) -> Result<bool, FramingError> {
    let mut codings = list_elements(response.headers(), TRANSFER_ENCODING);
    let Some(coding) = codings.next() else {
        return Ok(false);
    };
    let is_chunked = coding.is_some_and(|coding| coding.eq_ignore_ascii_case("chunked"));
    ensure!(is_chunked && codings.next().is_none(), UnknownCodingSnafu);
    let is_old = response.version() < Version::HTTP_11;
    ensure!(!is_old, CodingInOldVersionSnafu);
    Ok(true)
}

/// Returns the length in bytes; one that is repeated counts once.
fn parse_length(headers: &HeaderMap) -> Result<Option<u64>, FramingError> {
    let mut length = None;
    for element in list_elements(headers, CONTENT_LENGTH) {
        let digits = element.filter(|text| text.bytes().all(|byte| byte.is_ascii_digit()));
        let parsed = digits.and_then(|digits| digits.parse::<u64>().ok());
        let parsed = parsed.context(InvalidLengthSnafu)?;
        ensure!(
            length.is_none_or(|length| length == parsed),
            InvalidLengthSnafu
        );
        length = Some(parsed);
    }
    Ok(length)
}

/// Elements of a header with a comma-separated value, in all its lines; `None` for a line that is
/// not text.
fn list_elements(headers: &HeaderMap, name: HeaderName) -> impl Iterator<Item = Option<&str>> {
    let lines = headers.get_all(name).into_iter();
    lines.flat_map(|line| {
        let text = line.to_str().ok();
        let elements = text.into_iter().flat_map(|text| text.split(','));
        let elements = elements.map(|element| Some(element.trim()));
        elements.chain(text.is_none().then_some(None))
    })
}

/// Whether the sender closes the connection after the response.
fn closes_connection<B>(response: &Response<B>) -> bool {
    let headers = response.headers();
    let is_old = response.version() < Version::HTTP_11;
    has_option(headers, "close") || (is_old && !has_option(headers, "keep-alive"))
}
