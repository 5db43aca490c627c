//! Applies one edit to a configuration.

use std::collections::BTreeMap;

use crate::{
    CallPattern,
    CallRepeat,
    ConfigEdit,
    ConfigFault,
    CustomerEntry,
    CustomerLimits,
    FleetConfig,
    KeyHash,
    LimitsEdit,
    ServiceEntry,
    config::{
        edit_items::{
            add_entry,
            add_item,
            missing,
            remove_entry,
            remove_item, //
        },
        model_edit, //
    }, //
};

/// Applies `edit`, or returns why it cannot be applied.
pub(crate) fn apply(config: &mut FleetConfig, edit: &ConfigEdit) -> Result<(), ConfigFault> {
    match edit {
        ConfigEdit::Drain { target } => {
            let name = target.to_string();
            add_item(&mut config.drains, target.clone(), "drain", &name)
        }
        ConfigEdit::Undrain { target } => {
            let name = target.to_string();
            remove_item(&mut config.drains, target, "drain", &name)
        }
        ConfigEdit::SetMultiple { permille } => {
            config.multiple_permille = *permille;
            Ok(())
        }
        ConfigEdit::SetQuorumLoss { policy } => {
            config.quorum_loss = *policy;
            Ok(())
        }
        ConfigEdit::SetClaims { rules } => {
            config.claims = config.claims.with_edit(rules);
            Ok(())
        }
        ConfigEdit::AddMember { member, address } => {
            add_entry(&mut config.members, "member", member, address.clone())
        }
        ConfigEdit::RemoveMember { member } => remove_entry(&mut config.members, "member", member),
        ConfigEdit::AddOperator { operator, key } => {
            let keys = config.operators.entry(operator.clone()).or_default();
            add_item(keys, *key, "key", &key.to_string())
        }
        ConfigEdit::RemoveOperator { operator, key } => remove_operator(config, operator, key),
        ConfigEdit::AddService { service } => add_entry(
            &mut config.services,
            "service",
            service,
            ServiceEntry::default(),
        ),
        ConfigEdit::RemoveService { service } => {
            remove_entry(&mut config.services, "service", service)
        }
        ConfigEdit::SetCall {
            service,
            pattern,
            repeat,
        } => set_call(config, service, pattern, *repeat),
        ConfigEdit::AddModel { .. }
        | ConfigEdit::RemoveModel { .. }
        | ConfigEdit::SetReplicas { .. }
        | ConfigEdit::AddAdapter { .. }
        | ConfigEdit::RemoveAdapter { .. }
        | ConfigEdit::RollModel { .. }
        | ConfigEdit::RollBack { .. } => model_edit::apply(&mut config.models, edit),
        ConfigEdit::ForgetKeys { customer } => {
            let revision = config.revision + 1;
            customer_entry(&mut config.customers, customer)?.forgotten = revision;
            Ok(())
        }
        _ => edit_customer(&mut config.customers, edit),
    }
}

fn remove_operator(
    config: &mut FleetConfig,
    operator: &str,
    key: &KeyHash,
) -> Result<(), ConfigFault> {
    let keys = config
        .operators
        .get_mut(operator)
        .ok_or_else(|| missing("operator", operator))?;
    remove_item(keys, key, "key", &key.to_string())?;
    if keys.is_empty() {
        config.operators.remove(operator);
    }
    Ok(())
}

fn set_call(
    config: &mut FleetConfig,
    service: &str,
    pattern: &CallPattern,
    repeat: CallRepeat,
) -> Result<(), ConfigFault> {
    let entry = config
        .services
        .get_mut(service)
        .ok_or_else(|| missing("service", service))?;
    entry.idempotent.remove(pattern);
    entry.once.remove(pattern);
    match repeat {
        CallRepeat::Idempotent => entry.idempotent.insert(pattern.clone()),
        CallRepeat::Once => entry.once.insert(pattern.clone()),
        CallRepeat::ByMethod => true,
    };
    Ok(())
}

/// Applies an edit of a customer; other edits have no effect.
fn edit_customer(
    customers: &mut BTreeMap<String, CustomerEntry>,
    edit: &ConfigEdit,
) -> Result<(), ConfigFault> {
    match edit {
        ConfigEdit::AddCustomer { customer } => {
            add_entry(customers, "customer", customer, CustomerEntry::default())
        }
        ConfigEdit::RemoveCustomer { customer } => remove_entry(customers, "customer", customer),
        ConfigEdit::SetLimits { customer, limits } => {
            let entry = customer_entry(customers, customer)?;
            entry.limits = limits_after(entry.limits, limits);
            Ok(())
        }
        ConfigEdit::AddKey { customer, key } => {
            let entry = customer_entry(customers, customer)?;
            add_item(&mut entry.keys, *key, "key", &key.to_string())
        }
        ConfigEdit::RemoveKey { customer, key } => {
            let entry = customer_entry(customers, customer)?;
            remove_item(&mut entry.keys, key, "key", &key.to_string())
        }
        ConfigEdit::AllowModel {
            customer,
            model,
            adapter,
            version,
        } => {
            let entry = customer_entry(customers, customer)?;
            let access = entry.models.entry(model.clone()).or_default();
            access.adapters.extend(adapter.clone());
            access.version = version.clone().or(access.version.take());
            Ok(())
        }
        ConfigEdit::DenyModel {
            customer,
            model,
            adapter,
        } => deny_model(
            customer_entry(customers, customer)?,
            model,
            adapter.as_ref(),
        ),
        ConfigEdit::AllowService { customer, service } => {
            let entry = customer_entry(customers, customer)?;
            add_item(&mut entry.services, service.clone(), "service", service)
        }
        ConfigEdit::DenyService { customer, service } => {
            let entry = customer_entry(customers, customer)?;
            remove_item(&mut entry.services, service, "service", service)
        }
        _ => Ok(()),
    }
}

fn customer_entry<'a>(
    customers: &'a mut BTreeMap<String, CustomerEntry>,
    name: &str,
) -> Result<&'a mut CustomerEntry, ConfigFault> {
    customers
        .get_mut(name)
        .ok_or_else(|| missing("customer", name))
}

fn deny_model(
    entry: &mut CustomerEntry,
    model: &str,
    adapter: Option<&String>,
) -> Result<(), ConfigFault> {
    let Some(adapter) = adapter else {
        return remove_entry(&mut entry.models, "model", model);
    };
    let access = entry
        .models
        .get_mut(model)
        .ok_or_else(|| missing("model", model))?;
    remove_item(&mut access.adapters, adapter, "adapter", adapter)
}

fn limits_after(limits: CustomerLimits, edit: &LimitsEdit) -> CustomerLimits {
    CustomerLimits {
        requests_per_s: edit.requests_per_s.unwrap_or(limits.requests_per_s),
        tokens_per_s: edit.tokens_per_s.unwrap_or(limits.tokens_per_s),
        concurrent: edit.concurrent.unwrap_or(limits.concurrent),
        weight: edit.weight.unwrap_or(limits.weight),
        priority: edit.priority.unwrap_or(limits.priority),
    }
}
