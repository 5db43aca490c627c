use crate::log_record::LogRecord;

/// One record as it lies in a file: length, checksum, and the part the checksum covers.
///
/// ```text
/// length u32 | crc32 u32 | sequence u64 | synced u64 | postcard of the record
/// ```
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct RecordFrame {
    /// Sequence number, incremented with every record of the folder.
    pub(crate) sequence: u64,
    /// All records below this sequence number were synced when this one was written.
    pub(crate) synced: u64,
    pub(crate) record: LogRecord,
}

/// Size of length and checksum.
const PREFIX_BYTES: usize = 8;

/// Size of the sequence and synced numbers.
const NUMBER_BYTES: usize = 16;

/// Size of everything before the encoded record.
pub(crate) const OVERHEAD_BYTES: usize = PREFIX_BYTES + NUMBER_BYTES;

impl RecordFrame {
    /// Appends the encoded frame to `buffer`.
    pub(crate) fn write(&self, buffer: &mut Vec<u8>) -> Result<(), postcard::Error> {
        let start = buffer.len();
        buffer.extend_from_slice(&[0; PREFIX_BYTES]);
        buffer.extend_from_slice(&self.sequence.to_le_bytes());
        buffer.extend_from_slice(&self.synced.to_le_bytes());
        let body = postcard::to_stdvec(&self.record)?;
        buffer.extend_from_slice(&body);
        let covered = start + PREFIX_BYTES;
        let length = u32::try_from(buffer.len() - covered);
        let length = length.map_err(|_| postcard::Error::SerializeBufferFull)?;
        let mut hasher = crc32fast::Hasher::new();
        hasher.update(&length.to_le_bytes());
        hasher.update(&buffer[covered..]);
        let checksum = hasher.finalize();
        buffer[start..start + 4].copy_from_slice(&length.to_le_bytes());
        buffer[start + 4..covered].copy_from_slice(&checksum.to_le_bytes());
        Ok(())
    }

    /// Returns the frame at the start of `bytes` and its length, if it is complete and intact.
    pub(crate) fn read(bytes: &[u8]) -> Option<(Self, usize)> {
        let length = u32::from_le_bytes(bytes.get(..4)?.try_into().ok()?);
        let checksum = u32::from_le_bytes(bytes.get(4..PREFIX_BYTES)?.try_into().ok()?);
        let end = PREFIX_BYTES.checked_add(length as usize)?;
        let covered = bytes.get(PREFIX_BYTES..end)?;
        let mut hasher = crc32fast::Hasher::new();
        hasher.update(&length.to_le_bytes());
        hasher.update(covered);
        if hasher.finalize() != checksum {
            return None;
        }
        let (sequence, synced) = Self::numbers(bytes)?;
        let body = covered.get(NUMBER_BYTES..)?;
        let (record, rest) = postcard::take_from_bytes(body).ok()?;
        let frame = Self {
            sequence,
            synced,
            record,
        };
        rest.is_empty().then_some((frame, end))
    }

    /// Returns the sequence and synced numbers of a possible frame at the start of `bytes`, without
    /// verification.
    pub(crate) fn numbers(bytes: &[u8]) -> Option<(u64, u64)> {
        let sequence = bytes.get(PREFIX_BYTES..PREFIX_BYTES + 8)?;
        let synced = bytes.get(PREFIX_BYTES + 8..OVERHEAD_BYTES)?;
        let sequence = u64::from_le_bytes(sequence.try_into().ok()?);
        let synced = u64::from_le_bytes(synced.try_into().ok()?);
        Some((sequence, synced))
    }
}
