use std::path::PathBuf;

use crate::{
    seed_address::SeedAddress,
    settings_reader::SettingsReader, //
};

/// `[fleet]`: how this node finds the other nodes and authenticates itself to them.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct FleetSettings {
    /// Nodes to contact first. A few are enough; the others are learned from them.
    pub seeds: Vec<SeedAddress>,
    /// Folder with the fleet's certificate, and this node's certificate and private key.
    pub keys: PathBuf,
    /// File with the secret that endpoints send when they announce themselves.
    pub join_secret_file: PathBuf,
    /// File with the key of the first operator, used until the configuration names operators.
    pub operator_key_file: PathBuf,
}

impl FleetSettings {
    pub(crate) fn read(reader: &mut SettingsReader<'_>) -> Self {
        let example = "rvk-a-1@10.0.0.7:9080, hfj-b-1@10.0.1.7:9080";
        Self {
            seeds: reader.list("fleet", "seeds", example),
            keys: reader.required_text("fleet", "keys").into(),
            join_secret_file: reader.required_text("fleet", "join_secret_file").into(),
            operator_key_file: reader.required_text("fleet", "operator_key_file").into(),
        }
    }
}
