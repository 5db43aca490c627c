use std::net::{
    IpAddr,
    SocketAddr, //
};

use snafu::{
    Snafu,
    ensure, //
};

use crate::{
    EndpointRecord,
    EndpointStage, //
};

/// Longest text in a record, in bytes. Edges get the records of all endpoints in one message.
const MAX_TEXT_BYTES: usize = 256;

/// Largest number of requests that an endpoint can process concurrently.
const MAX_SLOTS: u32 = 1 << 16;

/// Longest time until an endpoint is warm, in milliseconds: a day.
const MAX_WARMING_MS: u32 = 24 * 60 * 60 * 1000;

/// Largest number that all writers of JSON represent exactly.
const MAX_EXACT_NUMBER: u64 = 1 << 53;

/// Reason for rejecting the record of an endpoint.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Snafu)]
#[non_exhaustive]
pub enum RecordFault {
    /// A text is missing.
    #[snafu(display("the {field} is empty; announce one"))]
    EmptyText {
        /// Name of the field.
        field: &'static str,
    },
    /// A text is too long to be sent to all edges.
    #[snafu(display("the {field} has {bytes} bytes; shorten it to {MAX_TEXT_BYTES}"))]
    LongText {
        /// Name of the field.
        field: &'static str,
        /// Its length in bytes.
        bytes: usize,
    },
    /// No endpoint can accept requests on the address.
    #[snafu(display("{address} is no address of an endpoint; announce its host and its port"))]
    UnusableAddress {
        /// The address in the record.
        address: SocketAddr,
    },
    /// A number is beyond what an endpoint can mean.
    #[snafu(display("the {field} of {value} is too large; announce {max} at most"))]
    LargeNumber {
        /// Name of the field.
        field: &'static str,
        /// The number in the record.
        value: u64,
        /// The largest number that is allowed.
        max: u64,
    },
}

impl EndpointRecord {
    /// Checks that the record names an endpoint that can be used, or one that has left.
    ///
    /// # Errors
    ///
    /// Fails if a text is too long or missing, if the address has no host or no port, or if a number is
    /// too large.
    pub fn check(&self) -> Result<(), RecordFault> {
        check_name(&self.name)?;
        let texts = [
            ("service", &self.service),
            ("failure domain", &self.zone),
            ("version", &self.version),
        ];
        for (field, text) in texts {
            check_length(field, text)?;
        }
        let numbers = [
            ("number of slots", self.slots.into(), MAX_SLOTS.into()),
            ("warm-up", self.warming_ms.into(), MAX_WARMING_MS.into()),
            ("sequence number", self.sequence, MAX_EXACT_NUMBER),
            ("start", self.started_ms, MAX_EXACT_NUMBER),
        ];
        for (field, value, max) in numbers {
            ensure!(value <= max, LargeNumberSnafu { field, value, max });
        }
        if self.stage == EndpointStage::Gone {
            // Nothing but its departure may be known.
            return Ok(());
        }
        ensure!(
            !self.service.is_empty(),
            EmptyTextSnafu { field: "service" }
        );
        let address = self.address;
        ensure!(is_usable(address), UnusableAddressSnafu { address });
        Ok(())
    }
}

/// Checks the name of an endpoint.
///
/// # Errors
///
/// Fails if it is empty or too long.
pub fn check_name(name: &str) -> Result<(), RecordFault> {
    ensure!(!name.is_empty(), EmptyTextSnafu { field: "name" });
    check_length("name", name)
}

fn check_length(field: &'static str, text: &str) -> Result<(), RecordFault> {
    let bytes = text.len();
    ensure!(bytes <= MAX_TEXT_BYTES, LongTextSnafu { field, bytes });
    Ok(())
}

/// Whether connections to an address can lead to one endpoint.
fn is_usable(address: SocketAddr) -> bool {
    let ip = address.ip();
    let is_broadcast = matches!(ip, IpAddr::V4(ip) if ip.is_broadcast());
    address.port() != 0 && !ip.is_unspecified() && !ip.is_multicast() && !is_broadcast
}
