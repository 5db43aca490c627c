//! Applies edits of models.

use std::collections::BTreeMap;

use crate::{
    ConfigEdit,
    ConfigFault,
    ModelEntry,
    config::edit_items::{
        add_entry,
        add_item,
        missing,
        remove_entry,
        remove_item, //
    }, //
};

/// Applies an edit of a model, or returns why it cannot be applied; other edits have no effect.
pub(crate) fn apply(
    models: &mut BTreeMap<String, ModelEntry>,
    edit: &ConfigEdit,
) -> Result<(), ConfigFault> {
    match edit {
        ConfigEdit::AddModel {
            model,
            version,
            replicas,
            size_mb,
        } => {
            let entry = ModelEntry::new(version, *replicas, *size_mb);
            add_entry(models, "model", model, entry)
        }
        ConfigEdit::RemoveModel { model } => remove_entry(models, "model", model),
        ConfigEdit::SetReplicas { model, replicas } => {
            model_entry(models, model)?.replicas = *replicas;
            Ok(())
        }
        ConfigEdit::AddAdapter { model, adapter } => {
            let entry = model_entry(models, model)?;
            add_item(&mut entry.adapters, adapter.clone(), "adapter", adapter)
        }
        ConfigEdit::RemoveAdapter { model, adapter } => {
            let entry = model_entry(models, model)?;
            remove_item(&mut entry.adapters, adapter, "adapter", adapter)
        }
        ConfigEdit::RollModel {
            model,
            version,
            percent,
        } => {
            let entry = model_entry(models, model)?;
            check_percent(*percent)?;
            entry.roll_to(version, *percent);
            Ok(())
        }
        ConfigEdit::RollBack { model } => {
            let entry = model_entry(models, model)?;
            if entry.roll_back() {
                Ok(())
            } else {
                Err(missing("rollout", model))
            }
        }
        _ => Ok(()),
    }
}

fn model_entry<'a>(
    models: &'a mut BTreeMap<String, ModelEntry>,
    name: &str,
) -> Result<&'a mut ModelEntry, ConfigFault> {
    models.get_mut(name).ok_or_else(|| missing("model", name))
}

fn check_percent(percent: u32) -> Result<(), ConfigFault> {
    if percent <= 100 {
        return Ok(());
    }
    Err(ConfigFault::OutOfRange {
        what: "the percent of a version".to_owned(),
        value: percent.into(),
        least: 0,
        most: 100,
    })
}
