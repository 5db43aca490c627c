use std::{
    fmt,
    fs,
    path::Path, //
};

use snafu::ResultExt;

use crate::{
    TransportError,
    transport_error::KeyFileSnafu, //
};

/// File name of the authority's certificate.
pub(crate) const AUTHORITY_FILE: &str = "authority.pem";

/// The keys with which a node authenticates itself and verifies its peers, as PEM text.
#[derive(Clone, Default)]
pub struct PeerKeys {
    /// Certificate of the fleet's certificate authority.
    pub authority: String,
    /// This node's certificate.
    pub certificate: String,
    /// This node's private key.
    pub private_key: String,
}

impl PeerKeys {
    /// Reads the keys that [`KeyFiles::write_to`](crate::KeyFiles::write_to) wrote for the node
    /// `name`.
    pub fn read_folder(folder: &Path, name: &str) -> Result<Self, TransportError> {
        Self::read(
            &folder.join(AUTHORITY_FILE),
            &folder.join(format!("{name}.pem")),
            &folder.join(format!("{name}.key")),
        )
    }

    /// Reads the three PEM files.
    ///
    /// # Errors
    ///
    /// Fails if one of them cannot be read.
    pub fn read(
        authority: &Path,
        certificate: &Path,
        private_key: &Path,
    ) -> Result<Self, TransportError> {
        let read = |path: &Path| fs::read_to_string(path).context(KeyFileSnafu { path });
        Ok(Self {
            authority: read(authority)?,
            certificate: read(certificate)?,
            private_key: read(private_key)?,
        })
    }
}

/// Omits the keys: the private key must not reach a log through the debug output of the settings.
impl fmt::Debug for PeerKeys {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.debug_struct("PeerKeys").finish_non_exhaustive()
    }
}
