use xxhash_rust::xxh3::xxh3_64_with_seed;

use ragwortroad_types::EndpointId;

use crate::CustomerKey;

/// Encodes an endpoint as an opaque hint that the client sends back, and decodes it.
///
/// A hint is bound to its customer and to the fleet's secret. A hint that was forged, altered or
/// taken from another customer decodes to none, and the request is routed by hash. A hint grants
/// nothing: the load bound, the customer's limits and the check that the endpoint serves the model
/// apply as to any other request.
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
    /// Creates a codec; every node with the same `secret` can decode its hints.
    pub fn new(secret: u64) -> Self {
        Self { secret }
    }

    /// Returns the hint for `endpoint`, valid only for `customer`.
    pub fn encode(&self, customer: CustomerKey, endpoint: EndpointId) -> String {
        // The endpoint is masked per customer, so that customers cannot compare their placement.
        let masked = endpoint.0 ^ self.mask(customer);
        let check = self.check(customer, masked);
        format!("{masked:016x}{check:016x}")
    }

    /// Returns the endpoint in `hint`, if this fleet issued the hint to `customer`.
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
