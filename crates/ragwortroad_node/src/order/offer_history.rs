use std::collections::BTreeSet;

use ragwortroad_state::prelude::*;

/// What operators once declared and took back, as far as the kept changes tell.
///
/// It tells a model that is to leave the engines from one that nobody ever declared, which is none
/// of the fleet's business.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct OfferHistory {
    /// Models that were removed.
    pub(crate) models: BTreeSet<String>,
    /// Adapters that were removed, with their models.
    pub(crate) adapters: BTreeSet<(String, String)>,
    /// Endpoints whose drain was ended.
    pub(crate) undrained: BTreeSet<String>,
    /// Failure domains whose drain was ended.
    pub(crate) undrained_domains: BTreeSet<String>,
}

impl OfferHistory {
    /// What the changes in `log` took back.
    pub(crate) fn of(log: &ChangeLog) -> Self {
        let mut history = Self::default();
        for edit in log.history().flat_map(|change| &change.edits) {
            match edit {
                ConfigEdit::RemoveModel { model } => {
                    history.models.insert(model.clone());
                }
                ConfigEdit::RemoveAdapter { model, adapter } => {
                    history.adapters.insert((model.clone(), adapter.clone()));
                }
                ConfigEdit::Undrain {
                    target: DrainTarget::Endpoint(name),
                } => {
                    history.undrained.insert(name.clone());
                }
                ConfigEdit::Undrain {
                    target: DrainTarget::Domain(name),
                } => {
                    history.undrained_domains.insert(name.clone());
                }
                _ => {}
            }
        }
        history
    }

    /// Whether a drain was ended that held the endpoint of this name in this failure domain.
    pub(crate) fn undrains(&self, name: &str, domain: &str) -> bool {
        self.undrained.contains(name) || self.undrained_domains.contains(domain)
    }
}
