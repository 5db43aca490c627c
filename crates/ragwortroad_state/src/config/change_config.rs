//! Changes of a configuration: checked as a whole, and carried out.

use crate::{
    ConfigEdit,
    ConfigFault,
    FleetConfig,
    config::{
        apply_edit,
        validate, //
    }, //
};

/// Edits one change may have.
const MAX_EDITS: usize = 256;

impl FleetConfig {
    /// Checks the configuration as a whole and names every fault.
    pub fn validate(&self) -> Result<(), Vec<ConfigFault>> {
        let faults = validate::faults(self);
        if faults.is_empty() {
            Ok(())
        } else {
            Err(faults)
        }
    }

    /// The configuration after `edits` as one change, or every fault that keeps it from being one.
    ///
    /// Either all edits take effect or none: they work on a copy.
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

    /// Carries the edits of an accepted change out; false where one cannot be.
    ///
    /// The members checked the change as a whole when they accepted it; a follower that checked
    /// every change it missed would stand still for a second after a long absence.
    pub(crate) fn apply_accepted_edits(&mut self, edits: &[ConfigEdit]) -> bool {
        let applied = edits
            .iter()
            .all(|edit| apply_edit::apply(self, edit).is_ok());
        self.revision += 1;
        applied
    }

    /// Faults of the list of edits itself.
    fn edit_list_faults(&self, edits: &[ConfigEdit]) -> Vec<ConfigFault> {
        let mut faults = Vec::new();
        if edits.is_empty() || edits.len() > MAX_EDITS {
            faults.push(ConfigFault::BadCount {
                count: edits.len() as u64,
                most: MAX_EDITS as u64,
            });
        }
        // Two members exchanged at once can leave two quorums without a common member, each of
        // which accepts changes that the other does not know.
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
