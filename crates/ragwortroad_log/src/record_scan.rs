use crate::{
    LogError,
    log_error::CorruptSnafu,
    record_frame::{
        OVERHEAD_BYTES,
        RecordFrame, //
    }, //
};

/// All intact records of one log file, up to the first that is not.
#[derive(Debug, Default)]
pub(crate) struct RecordScan {
    pub(crate) frames: Vec<RecordFrame>,
    /// Bytes of the intact records; what follows is an unfinished write.
    pub(crate) intact_bytes: usize,
}

impl RecordScan {
    /// Reads `bytes` of the log file `name`.
    ///
    /// A damaged record with an intact one behind it that says the damaged one had been synced is
    /// damage to something acknowledged: dropping it would lose an accepted change without a
    /// word. Without such a witness the damaged bytes are an unfinished write, which nothing can
    /// have been acknowledged on, and end the log.
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

    /// Looks behind a damaged record for an intact one that says the damaged one was synced.
    fn find_sync_proof(&self, rest: &[u8]) -> Option<String> {
        let missing = self.frames.last().map_or(0, |last| last.sequence + 1);
        let limit = missing.saturating_add(rest.len() as u64);
        for start in 0..rest.len().saturating_sub(OVERHEAD_BYTES) {
            let (sequence, synced) = RecordFrame::numbers(&rest[start..])?;
            // The numbers rule out nearly every position before a checksum is worked out.
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
