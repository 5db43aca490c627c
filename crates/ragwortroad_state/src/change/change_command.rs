use serde::{
    Deserialize,
    Serialize, //
};
use sha2::{
    Digest,
    Sha256, //
};

use crate::ConfigEdit;

/// A change that an operator wants.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ChangeCommand {
    /// The change's own name, drawn by who issues it, so that a resend is known as one.
    pub change_id: String,
    /// The revision that the operator saw.
    pub base_revision: u64,
    /// The operator's name.
    pub operator: String,
    /// What is to change, as a whole.
    pub edits: Vec<ConfigEdit>,
}

impl ChangeCommand {
    /// A short hash over the whole command, which tells a resend from another change that was
    /// given the same name.
    pub(crate) fn digest(&self) -> [u8; 16] {
        let bytes = postcard::to_stdvec(self).unwrap_or_default();
        let hash: [u8; 32] = Sha256::digest(bytes).into();
        let mut digest = [0; 16];
        digest.copy_from_slice(&hash[..16]);
        digest
    }
}
