use std::collections::BTreeSet;

use ragwortroad_state::prelude::*;

/// What operators declared earlier and then removed, as far as the retained changes show.
///
/// Distinguishes a model to unload from one that was never declared, which the fleet leaves alone.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct OfferHistory {
    /// Models that were removed.
    pub(crate) models: BTreeSet<String>,
    /// Adapters that were removed, as pairs of model and adapter.
    pub(crate) adapters: BTreeSet<(String, String)>,
    /// Endpoints whose drain was ended.
    pub(crate) undrained: BTreeSet<String>,
    /// Failure domains whose drain was ended.
    pub(crate) undrained_domains: BTreeSet<String>,
}

impl OfferHistory {
    /// Collects what the changes in `log` removed.
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

    /// Whether a drain of this endpoint or of its failure domain was ended.
    pub(crate) fn was_undrained(&self, name: &str, domain: &str) -> bool {
        self.undrained.contains(name) || self.undrained_domains.contains(domain)
    }
}
