use std::{
    fs,
    path::Path, //
};

use ragwortroad_settings::prelude::*;
use sha2::{
    Digest,
    Sha256, //
};
use snafu::ResultExt;

use crate::node_error::{
    NodeError,
    SecretSnafu, //
};

/// Hashes of the secrets in files; the secrets themselves are not kept.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct NodeSecrets {
    /// SHA-256 of the secret with which endpoints join.
    pub(crate) join: [u8; 32],
    /// SHA-256 of the first operator's key.
    pub(crate) operator: [u8; 32],
    /// Secret key of placement hints, the same on all nodes.
    pub(crate) hints: u64,
}

impl NodeSecrets {
    /// Reads the files named in the settings.
    pub(crate) fn read(settings: &FleetSettings) -> Result<Self, NodeError> {
        let join = read_hash(&settings.join_secret_file)?;
        let operator = read_hash(&settings.operator_key_file)?;
        // All nodes share the join secret, and clients don't know it.
        let derived: [u8; 32] = Sha256::digest([&join[..], b"placement hints"].concat()).into();
        let mut start = [0; 8];
        start.copy_from_slice(&derived[..8]);
        Ok(Self {
            join,
            operator,
            hints: u64::from_le_bytes(start),
        })
    }
}

/// Returns the SHA-256 of a file's first line, without surrounding whitespace.
fn read_hash(path: &Path) -> Result<[u8; 32], NodeError> {
    let text = fs::read_to_string(path).context(SecretSnafu { path })?;
    let line = text.lines().next().unwrap_or_default().trim();
    Ok(Sha256::digest(line.as_bytes()).into())
}

/// Compares two hashes in constant time.
pub(crate) fn same_hash(left: &[u8; 32], right: &[u8; 32]) -> bool {
    let difference = left.iter().zip(right).fold(0, |sum, (a, b)| sum | (a ^ b));
    difference == 0
}
