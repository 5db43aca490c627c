use ragwortroad_state::prelude::*;

use crate::{
    CellValue,
    ResultTable,
    ShowTopic,
    edit::{
        edit_text,
        permille_text, //
    }, //
};

/// Builds the table of a topic from the replicated state; `None` for topics that need other
/// sources.
pub fn state_table(topic: ShowTopic, state: &FleetState) -> Option<ResultTable> {
    let config = state.config();
    let mut table = ResultTable::new(topic);
    match topic {
        ShowTopic::Customers => customers(&mut table, config),
        ShowTopic::Limits => limits(&mut table, config),
        ShowTopic::Models => models(&mut table, config),
        ShowTopic::Versions => versions(&mut table, config),
        ShowTopic::Services => services(&mut table, config),
        ShowTopic::Config => settings(&mut table, config),
        ShowTopic::Claims => claims(&mut table, state.claims()),
        ShowTopic::Changes => changes(&mut table, state.changes()),
        ShowTopic::Drains => drains(&mut table, config),
        ShowTopic::Operators => operators(&mut table, config),
        ShowTopic::Endpoints
        | ShowTopic::Engines
        | ShowTopic::Members
        | ShowTopic::Leader
        | ShowTopic::Nodes
        | ShowTopic::Orders => return None,
    }
    Some(table)
}

fn comma_list<T: ToString>(items: impl IntoIterator<Item = T>) -> CellValue {
    let items: Vec<String> = items.into_iter().map(|item| item.to_string()).collect();
    if items.is_empty() {
        CellValue::Empty
    } else {
        CellValue::Text(items.join(","))
    }
}

/// Lists the first 12 digits of the key hashes, enough to distinguish them.
fn key_list<'a>(keys: impl IntoIterator<Item = &'a KeyHash>) -> CellValue {
    comma_list(keys.into_iter().map(|key| key.to_string()[..12].to_owned()))
}

fn customers(table: &mut ResultTable, config: &FleetConfig) {
    for (name, customer) in &config.customers {
        let models = customer.models.iter().map(|(model, access)| {
            let adapters = access.adapters.iter().map(|name| format!(":{name}"));
            let version = access.version.iter().map(|name| format!("@{name}"));
            format!("{model}{}", version.chain(adapters).collect::<String>())
        });
        table.push([
            name.as_str().into(),
            key_list(&customer.keys),
            comma_list(models),
            comma_list(&customer.services),
        ]);
    }
}

fn limits(table: &mut ResultTable, config: &FleetConfig) {
    for (name, customer) in &config.customers {
        let limits = customer.limits;
        table.push([
            name.as_str().into(),
            limits.requests_per_s.into(),
            limits.tokens_per_s.into(),
            limits.concurrent.into(),
            limits.weight.into(),
            u32::from(limits.priority).into(),
        ]);
    }
}

fn models(table: &mut ResultTable, config: &FleetConfig) {
    for (name, model) in &config.models {
        let shares = model.versions.iter();
        table.push([
            name.as_str().into(),
            comma_list(shares.map(|(version, share)| format!("{version}:{share}%"))),
            comma_list(&model.adapters),
            model.replicas.min.into(),
            model.replicas.wanted.into(),
            model.replicas.max.into(),
            model.size_mb.into(),
            model.rolling_to.clone().into(),
        ]);
    }
}

fn versions(table: &mut ResultTable, config: &FleetConfig) {
    for (name, model) in &config.models {
        let previous = model.stable.keys();
        let removed = previous.filter(|version| !model.versions.contains_key(*version));
        for version in model.versions.keys().chain(removed) {
            let share = model.versions.get(version).copied().unwrap_or(0);
            table.push([
                name.as_str().into(),
                version.as_str().into(),
                share.into(),
                model.stable.get(version).copied().into(),
            ]);
        }
    }
}

fn services(table: &mut ResultTable, config: &FleetConfig) {
    for (name, service) in &config.services {
        table.push([
            name.as_str().into(),
            comma_list(&service.idempotent),
            comma_list(&service.once),
        ]);
    }
}

fn settings(table: &mut ResultTable, config: &FleetConfig) {
    let rules = &config.claims;
    let policy = match config.quorum_loss {
        QuorumLoss::Refuse => "refuse".to_owned(),
        QuorumLoss::GoOn { seconds } => format!("go-on {seconds}s"),
    };
    let settings = [
        ("revision", config.revision.to_string()),
        ("multiple", permille_text(config.multiple_permille)),
        ("quorum-loss", policy),
        ("claims window", format!("{}s", rules.window_s)),
        ("claims keys", rules.per_customer.to_string()),
        ("claims answer", rules.answer_bytes.to_string()),
        ("claims budget", rules.answer_budget.to_string()),
        ("claims spent", rules.spent_per_customer.to_string()),
        ("claims skew", format!("{}s", rules.skew_s)),
        ("claims run", format!("{}s", rules.run_bound_s)),
    ];
    for (setting, value) in settings {
        table.push([setting.into(), value.into()]);
    }
}

fn claims(table: &mut ResultTable, claims: &ClaimTable) {
    for customer in claims.customers() {
        let count = claims.count(customer);
        table.push([
            customer.into(),
            count.kept.into(),
            count.running.into(),
            count.spent.into(),
        ]);
    }
}

fn changes(table: &mut ResultTable, log: &ChangeLog) {
    for change in log.history().rev() {
        let edits: Vec<String> = change.edits.iter().map(edit_text).collect();
        table.push([
            change.revision.into(),
            change.change_id.as_str().into(),
            change.operator.as_str().into(),
            change.accepted_at.0.into(),
            edits.join("; ").into(),
        ]);
    }
}

fn drains(table: &mut ResultTable, config: &FleetConfig) {
    for target in &config.drains {
        let kind = match target {
            DrainTarget::Endpoint(_) => "endpoint",
            DrainTarget::Node(_) => "node",
            DrainTarget::Domain(_) => "domain",
        };
        table.push([kind.into(), target.name().into()]);
    }
}

fn operators(table: &mut ResultTable, config: &FleetConfig) {
    for (name, keys) in &config.operators {
        table.push([name.as_str().into(), key_list(keys)]);
    }
}
