use ragwortroad_log::prelude::*;
use snafu::Snafu;

use crate::version_record::VersionRecordError;

/// Why what is known of software versions could not be saved or loaded.
#[derive(Debug)]
#[derive(Snafu)]
#[snafu(visibility(pub(crate)))]
pub(crate) enum StoreError {
    /// Reading or writing a file failed.
    #[snafu(display("{source}"))]
    Disk { source: LogError },
    /// The content could not be encoded or decoded.
    #[snafu(display(
        "cannot encode or decode what is known of software versions: {source}; run one version on \
         all VMs"
    ))]
    Codec { source: postcard::Error },
    /// The content does not match its checksum.
    #[snafu(display("{source}"))]
    Damaged { source: VersionRecordError },
}
