use serde::{
    Deserialize,
    Serialize, //
};
use sha2::{
    Digest,
    Sha256, //
};

/// A customer's idempotency key for one service, as stored in the state.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct ClaimKey {
    /// The name of the customer.
    pub customer: String,
    /// The first 16 bytes of the SHA-256 hash of service and key.
    pub digest: [u8; 16],
    /// Time at which the key was issued, in milliseconds since 1970, if the key is a UUID of
    /// version 7, which begins with it. Expired keys of this kind are recognized without any
    /// record.
    pub issued_ms: Option<u64>,
}

impl ClaimKey {
    /// Returns the claim key of a request of `customer` to `service` with the header value `key`.
    pub fn new(customer: &str, service: &str, key: &str) -> Self {
        let mut hash = Sha256::new();
        hash.update((service.len() as u64).to_le_bytes());
        hash.update(service.as_bytes());
        hash.update(key.as_bytes());
        Self {
            customer: customer.to_owned(),
            digest: truncate_hash(hash.finalize().into()),
            issued_ms: uuid_v7_time_ms(key),
        }
    }

    /// The fingerprint by which an undated key is remembered past the window.
    pub(crate) fn fingerprint(&self) -> u64 {
        fingerprint(&self.digest)
    }
}

/// The first 8 bytes of a digest, by which an undated key is remembered past the window.
pub(crate) fn fingerprint(digest: &[u8; 16]) -> u64 {
    let mut bytes = [0; 8];
    bytes.copy_from_slice(&digest[..8]);
    u64::from_le_bytes(bytes)
}

/// Truncates a SHA-256 hash to 16 bytes, which is enough to distinguish requests.
pub(crate) fn truncate_hash(hash: [u8; 32]) -> [u8; 16] {
    let mut bytes = [0; 16];
    bytes.copy_from_slice(&hash[..16]);
    bytes
}

/// Returns the time in a UUID of version 7 in its canonical form, in milliseconds since 1970.
fn uuid_v7_time_ms(key: &str) -> Option<u64> {
    let bytes = key.as_bytes();
    let dashes = [8, 13, 18, 23];
    let has_uuid_form = bytes.len() == 36
        && bytes.iter().enumerate().all(|(index, byte)| {
            if dashes.contains(&index) {
                *byte == b'-'
            } else {
                byte.is_ascii_hexdigit()
            }
        });
    if !has_uuid_form || bytes[14] != b'7' || !b"89abAB".contains(&bytes[19]) {
        return None;
    }
    let digits = format!("{}{}", &key[..8], &key[9..13]);
    u64::from_str_radix(&digits, 16).ok()
}
