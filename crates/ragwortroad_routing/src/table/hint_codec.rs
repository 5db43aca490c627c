use xxhash_rust::xxh3::xxh3_64_with_seed;

use ragwortroad_types::EndpointId;

use crate::CustomerKey;

/// Turns a placement into the opaque text a caller carries, and back.
///
/// A hint is bound to its customer and to the fleet's secret. One that was forged, altered, or
/// taken from another customer reads as no hint at all; the request then goes where the hash sends
/// it. A hint grants nothing: the bound, the limits and the check whether the endpoint serves the
/// model apply to its request as to any other.
///
/// ```
/// use ragwortroad_routing::prelude::*;
/// use ragwortroad_types::EndpointId;
///
/// let codec = HintCodec::new(17);
/// let north = CustomerKey::from_name("studio-north");
/// let hint = codec.encode(north, EndpointId(42));
/// assert_eq!(codec.decode(north, &hint), Some(EndpointId(42)));
/// assert_eq!(codec.decode(CustomerKey::from_name("studio-south"), &hint), None);
/// ```
#[derive(Clone, Copy, Debug)]
pub struct HintCodec {
    secret: u64,
}

/// Length of a hint: two 64-bit numbers in hexadecimal.
const HINT_LENGTH: usize = 32;

impl HintCodec {
    /// A codec whose hints are read by every node with the same `secret`.
    pub fn new(secret: u64) -> Self {
        Self { secret }
    }

    /// The hint for `endpoint`, for `customer` only.
    pub fn encode(&self, customer: CustomerKey, endpoint: EndpointId) -> String {
        // The place is masked per customer, so that customers cannot compare where they sit.
        let masked = endpoint.0 ^ self.mask(customer);
        let check = self.check(customer, masked);
        format!("{masked:016x}{check:016x}")
    }

    /// The endpoint that `hint` names, if this fleet gave it to `customer`.
    pub fn decode(&self, customer: CustomerKey, hint: &str) -> Option<EndpointId> {
        if hint.len() != HINT_LENGTH || !hint.is_ascii() {
            return None;
        }
        let masked = u64::from_str_radix(&hint[..16], 16).ok()?;
        let check = u64::from_str_radix(&hint[16..], 16).ok()?;
        if check != self.check(customer, masked) {
            return None;
        }
        Some(EndpointId(masked ^ self.mask(customer)))
    }

    fn mask(&self, customer: CustomerKey) -> u64 {
        xxh3_64_with_seed(&customer.0.to_le_bytes(), self.secret)
    }

    fn check(&self, customer: CustomerKey, masked: u64) -> u64 {
        let hash = xxh3_64_with_seed(&masked.to_le_bytes(), self.secret.rotate_left(32));
        xxh3_64_with_seed(&customer.0.to_le_bytes(), hash)
    }
}
