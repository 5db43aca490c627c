use crate::{
    LogError,
    log_error::CorruptSnafu,
    record_frame::{
        OVERHEAD_BYTES,
        RecordFrame, //
    }, //
};

/// The intact records of a log file, up to the first one that is damaged.
#[derive(Debug, Default)]
pub(crate) struct RecordScan {
    pub(crate) frames: Vec<RecordFrame>,
    /// Size of the intact records; what follows is an incomplete write.
    pub(crate) intact_bytes: usize,
}

impl RecordScan {
    /// Reads the content `bytes` of the log file `name`.
    ///
    /// If an intact record after a damaged one shows that the damaged one had been synced,
    /// acknowledged data is damaged, and dropping it would silently lose an accepted change.
    /// Without such proof the damaged bytes are an incomplete write, on which nothing can have been
    /// acknowledged, and the log ends before them.
    pub(crate) fn read(name: &str, bytes: &[u8]) -> Result<Self, LogError> {
        let mut scan = Self::default();
        while let Some((frame, length)) = RecordFrame::read(&bytes[scan.intact_bytes..]) {
            let expected = scan.frames.last().map(|last| last.sequence + 1);
            if expected.is_some_and(|expected| expected != frame.sequence) {
                break;
            }
            scan.intact_bytes += length;
            scan.frames.push(frame);
        }
        if let Some(detail) = scan.find_sync_proof(&bytes[scan.intact_bytes..]) {
            return CorruptSnafu {
                name,
                offset: scan.intact_bytes as u64,
                detail,
            }
            .fail();
        }
        Ok(scan)
    }

    /// Looks for an intact record after a damaged one that shows that the damaged one was synced.
    fn find_sync_proof(&self, rest: &[u8]) -> Option<String> {
        let missing = self.frames.last().map_or(0, |last| last.sequence + 1);
        let limit = missing.saturating_add(rest.len() as u64);
        for start in 0..rest.len().saturating_sub(OVERHEAD_BYTES) {
            let (sequence, synced) = RecordFrame::numbers(&rest[start..])?;
            // The numbers rule out nearly every position before a checksum is computed.
            let plausible = sequence > missing && sequence <= limit && synced > missing;
            if !plausible || synced > sequence {
                continue;
            }
            if RecordFrame::read(&rest[start..]).is_some() {
                let detail = format!("record {missing} was synced before record {sequence}");
                return Some(detail);
            }
        }
        None
    }
}
