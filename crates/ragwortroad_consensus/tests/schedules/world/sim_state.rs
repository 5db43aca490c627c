/// The replicated state: a digest of all commands in order.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct SimState {
    pub(crate) index: u64,
    pub(crate) digest: u64,
}

/// Large enough that a snapshot takes several chunks.
const SNAPSHOT_BYTES: usize = 1800;

impl SimState {
    pub(crate) fn apply(&mut self, index: u64, command: &[u8]) {
        self.index = index;
        for &byte in command {
            self.digest = (self.digest ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3);
        }
        self.digest = self.digest.rotate_left(7) ^ index;
    }

    pub(crate) fn to_bytes(self) -> Vec<u8> {
        let mut bytes = Vec::new();
        bytes.extend_from_slice(&self.index.to_le_bytes());
        bytes.extend_from_slice(&self.digest.to_le_bytes());
        bytes.resize(SNAPSHOT_BYTES, 0x5a);
        bytes
    }

    pub(crate) fn from_bytes(bytes: &[u8]) -> Self {
        assert_eq!(bytes.len(), SNAPSHOT_BYTES, "snapshot incomplete");
        let number =
            |at: usize| u64::from_le_bytes(bytes[at..at + 8].try_into().expect("eight bytes"));
        Self {
            index: number(0),
            digest: number(8),
        }
    }
}
