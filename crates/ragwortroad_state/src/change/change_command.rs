use serde::{
    Deserialize,
    Serialize, //
};
use sha2::{
    Digest,
    Sha256, //
};

use crate::ConfigEdit;

/// A configuration change that an operator requests.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ChangeCommand {
    /// Identifier that the issuer chooses, by which a change that is sent again is recognized.
    pub change_id: String,
    /// The revision that the operator saw; the change is refused if it is no longer the current
    /// one.
    pub base_revision: u64,
    /// The name of the operator.
    pub operator: String,
    /// The edits, which take effect as a whole.
    pub edits: Vec<ConfigEdit>,
}

impl ChangeCommand {
    /// A hash over the whole command, which distinguishes a change that is sent again from another
    /// change with the same identifier.
    pub(crate) fn digest(&self) -> [u8; 16] {
        let bytes = postcard::to_stdvec(self).unwrap_or_default();
        let hash: [u8; 32] = Sha256::digest(bytes).into();
        let mut digest = [0; 16];
        digest.copy_from_slice(&hash[..16]);
        digest
    }
}
