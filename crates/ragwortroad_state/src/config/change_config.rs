//! Validates changes of a configuration and applies them.

use crate::{
    ConfigEdit,
    ConfigFault,
    FleetConfig,
    config::{
        apply_edit,
        validate, //
    }, //
};

/// Largest number of edits in one change.
const MAX_EDITS: usize = 256;

impl FleetConfig {
    /// Checks the whole configuration and returns every fault.
    pub fn validate(&self) -> Result<(), Vec<ConfigFault>> {
        let faults = validate::faults(self);
        if faults.is_empty() {
            Ok(())
        } else {
            Err(faults)
        }
    }

    /// Returns the configuration after `edits` were applied as one change, or every fault in them.
    ///
    /// The edits work on a copy, so either all of them take effect or none does.
    pub fn with_edits(&self, edits: &[ConfigEdit]) -> Result<Self, Vec<ConfigFault>> {
        let mut config = self.clone();
        let mut faults = self.edit_list_faults(edits);
        for edit in edits {
            faults.extend(apply_edit::apply(&mut config, edit).err());
        }
        if faults.is_empty() {
            faults = validate::faults(&config);
            let locked_out = config.operators.is_empty() && !self.operators.is_empty();
            faults.extend(locked_out.then_some(ConfigFault::NoOperator));
        }
        if !faults.is_empty() {
            return Err(faults);
        }
        config.revision += 1;
        Ok(config)
    }

    /// Applies the edits of an accepted change. Returns false if one of them cannot be applied.
    ///
    /// The change is not validated again: the members did so when they accepted it, and a follower
    /// that validated every change it missed would block for a second after a long absence.
    pub(crate) fn apply_accepted_edits(&mut self, edits: &[ConfigEdit]) -> bool {
        let applied = edits
            .iter()
            .all(|edit| apply_edit::apply(self, edit).is_ok());
        self.revision += 1;
        applied
    }

    /// Checks the number of edits and of membership changes.
    fn edit_list_faults(&self, edits: &[ConfigEdit]) -> Vec<ConfigFault> {
        let mut faults = Vec::new();
        if edits.is_empty() || edits.len() > MAX_EDITS {
            faults.push(ConfigFault::BadCount {
                count: edits.len() as u64,
                most: MAX_EDITS as u64,
            });
        }
        // If two members were replaced at once, two quorums without a common member could exist,
        // and each could accept changes that the other does not know.
        let of_members = edits
            .iter()
            .filter(|edit| edit.changes_membership())
            .count();
        if of_members > 1 && !self.members.is_empty() {
            faults.push(ConfigFault::ManyMembers);
        }
        faults
    }
}
