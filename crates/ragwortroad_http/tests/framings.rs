//! Tests of where the bodies of responses end.

use hyper::{
    HeaderMap,
    Method,
    Response,
    StatusCode,
    Version,
    header::{
        CONNECTION,
        CONTENT_LENGTH,
        HeaderName,
        HeaderValue,
        TRANSFER_ENCODING, //
    }, //
};
use ragwortroad_http::prelude::*;

/// The framing of a response with these lines to a request by a method.
fn framing_for(
    method: &Method,
    status: u16,
    lines: &[(HeaderName, &[u8])],
) -> Result<BodyFraming, FramingError> {
    let mut response = Response::new(());
    *response.status_mut() = StatusCode::from_u16(status).expect("an invalid status");
    for (name, value) in lines {
        let value = HeaderValue::from_bytes(value).expect("an invalid value");
        response.headers_mut().append(name, value);
    }
    BodyFraming::of_response(method, &response)
}

fn framing(lines: &[(HeaderName, &[u8])]) -> Result<BodyFraming, FramingError> {
    framing_for(&Method::POST, 200, lines)
}

#[test]
fn a_coding_is_read_only_as_chunked_and_once() {
    let coded = |values: &[&'static str]| {
        let lines = values.iter();
        let lines: Vec<_> = lines
            .map(|value| (TRANSFER_ENCODING, value.as_bytes()))
            .collect();
        framing(&lines)
    };
    assert_eq!(coded(&["chunked"]), Ok(BodyFraming::Chunked));
    assert_eq!(coded(&["CHUNKED"]), Ok(BodyFraming::Chunked));
    let unknown = Err(FramingError::UnknownCoding);
    for value in [
        "",
        ",",
        "gzip",
        "gzip, chunked",
        "chunked, gzip",
        "chunked;q=1",
        "chunked,",
    ] {
        assert_eq!(coded(&[value]), unknown, "{value}");
    }
    assert_eq!(coded(&["chunked", "chunked"]), unknown);
    assert_eq!(coded(&["gzip", "chunked"]), unknown);
    assert_eq!(framing(&[(TRANSFER_ENCODING, b"chunked\xff")]), unknown);
}

#[test]
fn a_coding_and_a_length_are_ambiguous() {
    let lines: [(HeaderName, &[u8]); 2] = [(CONTENT_LENGTH, b"5"), (TRANSFER_ENCODING, b"chunked")];
    assert_eq!(framing(&lines), Err(FramingError::CodingAndLength));
}

#[test]
fn a_coding_in_an_old_version_is_refused() {
    let mut response = Response::new(());
    *response.version_mut() = Version::HTTP_10;
    let value = HeaderValue::from_static("chunked");
    response.headers_mut().insert(TRANSFER_ENCODING, value);
    let framing = BodyFraming::of_response(&Method::GET, &response);
    assert_eq!(framing, Err(FramingError::CodingInOldVersion));
}

#[test]
fn a_repeated_length_counts_once_and_others_are_refused() {
    let read = |values: &[&'static [u8]]| {
        let lines: Vec<_> = values
            .iter()
            .map(|value| (CONTENT_LENGTH, *value))
            .collect();
        framing(&lines)
    };
    assert_eq!(read(&[b"43"]), Ok(BodyFraming::Length(43)));
    assert_eq!(read(&[b"43, 43"]), Ok(BodyFraming::Length(43)));
    assert_eq!(read(&[b"43", b"43"]), Ok(BodyFraming::Length(43)));
    let invalid: [&[u8]; 9] = [
        b"",
        b"+43",
        b"-43",
        b"4 3",
        b"0x2b",
        b"43,",
        b"43, 44",
        b"\xff",
        b"99999999999999999999999",
    ];
    for value in invalid {
        assert_eq!(
            read(&[value]),
            Err(FramingError::InvalidLength),
            "{value:?}"
        );
    }
    assert_eq!(read(&[b"43", b"44"]), Err(FramingError::InvalidLength));
}

#[test]
fn responses_without_a_body_describe_one() {
    let length: [(HeaderName, &[u8]); 1] = [(CONTENT_LENGTH, b"43")];
    let described = Ok(BodyFraming::Bodiless {
        described_length: Some(43),
    });
    assert_eq!(framing_for(&Method::HEAD, 200, &length), described);
    assert_eq!(framing_for(&Method::GET, 304, &length), described);
    let none = Ok(BodyFraming::Bodiless {
        described_length: None,
    });
    assert_eq!(framing_for(&Method::GET, 204, &[]), none);
    assert_eq!(
        framing_for(&Method::GET, 204, &[(CONTENT_LENGTH, b"0")]),
        none
    );
}

#[test]
fn statuses_that_are_not_final_are_refused() {
    let length: [(HeaderName, &[u8]); 1] = [(CONTENT_LENGTH, b"43")];
    for status in [101, 103, 199, 600, 999] {
        let refused = Err(FramingError::UnknownStatus { status });
        assert_eq!(framing_for(&Method::GET, status, &length), refused);
        assert_eq!(framing_for(&Method::HEAD, status, &length), refused);
    }
    for status in [200, 299, 404, 503, 599] {
        let framing = framing_for(&Method::GET, status, &length);
        assert_eq!(framing, Ok(BodyFraming::Length(43)), "{status}");
    }
}

#[test]
fn bodies_that_the_status_forbids_are_refused() {
    for status in [204, 205] {
        let refused = Err(FramingError::ForbiddenBody { status });
        let bodies: [(HeaderName, &[u8]); 2] =
            [(CONTENT_LENGTH, b"43"), (TRANSFER_ENCODING, b"chunked")];
        for body in bodies {
            assert_eq!(framing_for(&Method::GET, status, &[body]), refused);
        }
    }
    let empty = framing_for(&Method::GET, 205, &[(CONTENT_LENGTH, b"0")]);
    assert_eq!(empty, Ok(BodyFraming::Length(0)));
}

#[test]
fn only_an_announced_close_ends_a_body() {
    let close_delimited = Ok(BodyFraming::CloseDelimited);
    let connection = |value: &'static str| framing(&[(CONNECTION, value.as_bytes())]);
    assert_eq!(framing(&[]), Err(FramingError::NoFraming));
    assert_eq!(connection("keep-alive"), Err(FramingError::NoFraming));
    assert_eq!(connection("close"), close_delimited);
    assert_eq!(connection("X-Other, Close"), close_delimited);
    let old = |value: Option<&'static str>| {
        let mut response = Response::new(());
        *response.version_mut() = Version::HTTP_10;
        let value = value.map(|value| (CONNECTION, HeaderValue::from_static(value)));
        response.headers_mut().extend(value);
        BodyFraming::of_response(&Method::GET, &response)
    };
    assert_eq!(old(None), close_delimited);
    assert_eq!(old(Some("keep-alive")), Err(FramingError::NoFraming));
}

#[test]
fn headers_that_connection_names_are_stripped() {
    let mut headers = HeaderMap::new();
    for (name, value) in [
        ("connection", "x-first, keep-alive"),
        ("connection", "X-Second"),
        ("keep-alive", "timeout=5"),
        ("transfer-encoding", "chunked"),
        ("x-first", "1"),
        ("x-second", "2"),
        ("x-third", "3"),
    ] {
        headers.append(name, HeaderValue::from_static(value));
    }
    strip_hop_by_hop(&mut headers);
    let left: Vec<&str> = headers.keys().map(HeaderName::as_str).collect();
    assert_eq!(left, ["x-third"]);
}
