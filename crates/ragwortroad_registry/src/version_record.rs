use std::collections::BTreeSet;

use ragwortroad_dispatch::prelude::*;
use serde::{
    Deserialize,
    Serialize, //
};
use snafu::Snafu;
use xxhash_rust::xxh3::xxh3_64;

/// Contents of the file of software versions.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub(crate) struct VersionRecord {
    /// Tags of services and versions.
    versions: Vec<(u32, u32)>,
    is_complete: bool,
    checksum: u64,
}

/// The file of software versions is damaged.
#[derive(Debug)]
#[derive(Snafu)]
#[snafu(display("the file of software versions is damaged; it is written anew"))]
pub(crate) struct VersionRecordError;

impl VersionRecord {
    fn checksum_of(versions: &[(u32, u32)], is_complete: bool) -> u64 {
        let tags = versions.iter().flat_map(|(service, version)| {
            let (service, version) = (service.to_le_bytes(), version.to_le_bytes());
            service.into_iter().chain(version)
        });
        let bytes: Vec<u8> = tags.chain([u8::from(is_complete)]).collect();
        xxh3_64(&bytes)
    }
}

impl From<&LedgerContent> for VersionRecord {
    fn from(content: &LedgerContent) -> Self {
        let versions = content.versions.iter();
        let versions: Vec<_> = versions
            .map(|version| (version.service.0, version.version))
            .collect();
        Self {
            checksum: Self::checksum_of(&versions, content.is_complete),
            versions,
            is_complete: content.is_complete,
        }
    }
}

impl TryFrom<VersionRecord> for LedgerContent {
    type Error = VersionRecordError;

    fn try_from(record: VersionRecord) -> Result<Self, Self::Error> {
        let checksum = VersionRecord::checksum_of(&record.versions, record.is_complete);
        if checksum != record.checksum {
            return VersionRecordSnafu.fail();
        }
        let versions = record.versions.into_iter();
        let versions = versions.map(|(service, version)| VersionTag {
            service: ServiceTag(service),
            version,
        });
        Ok(Self {
            versions: BTreeSet::from_iter(versions),
            is_complete: record.is_complete,
        })
    }
}
