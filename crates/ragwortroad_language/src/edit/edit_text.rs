use ragwortroad_state::prelude::*;

/// Formats an edit as an operator would type it. Parsing the text returns the same edit.
pub fn edit_text(edit: &ConfigEdit) -> String {
    match edit {
        ConfigEdit::AddCustomer { customer } => format!("add customer {}", word(customer)),
        ConfigEdit::RemoveCustomer { customer } => format!("remove customer {}", word(customer)),
        ConfigEdit::SetLimits { customer, limits } => {
            format!("set customer {}{}", word(customer), limits_text(limits))
        }
        ConfigEdit::AddKey { customer, key } => format!("add key {} {key}", word(customer)),
        ConfigEdit::RemoveKey { customer, key } => format!("remove key {} {key}", word(customer)),
        ConfigEdit::AllowModel {
            customer,
            model,
            adapter,
            version,
        } => {
            let adapter = part("adapter", adapter.as_ref().map(|name| word(name)));
            let version = part("version", version.as_ref().map(|name| word(name)));
            let (customer, model) = (word(customer), word(model));
            format!("allow customer {customer} model {model}{adapter}{version}")
        }
        ConfigEdit::DenyModel {
            customer,
            model,
            adapter,
        } => {
            let adapter = part("adapter", adapter.as_ref().map(|name| word(name)));
            format!(
                "deny customer {} model {}{adapter}",
                word(customer),
                word(model)
            )
        }
        ConfigEdit::AllowService { customer, service } => {
            format!(
                "allow customer {} service {}",
                word(customer),
                word(service)
            )
        }
        ConfigEdit::DenyService { customer, service } => {
            format!("deny customer {} service {}", word(customer), word(service))
        }
        ConfigEdit::ForgetKeys { customer } => format!("forget keys {}", word(customer)),
        _ => model_text(edit).unwrap_or_else(|| fleet_text(edit)),
    }
}

fn model_text(edit: &ConfigEdit) -> Option<String> {
    let text = match edit {
        ConfigEdit::AddModel {
            model,
            version,
            replicas,
            size_mb,
        } => {
            let (model, version) = (word(model), word(version));
            let replicas = replicas_text(replicas);
            format!("add model {model} version {version} {replicas} size {size_mb}mb")
        }
        ConfigEdit::RemoveModel { model } => format!("remove model {}", word(model)),
        ConfigEdit::SetReplicas { model, replicas } => {
            format!("set model {} {}", word(model), replicas_text(replicas))
        }
        ConfigEdit::AddAdapter { model, adapter } => {
            format!("add adapter {} model {}", word(adapter), word(model))
        }
        ConfigEdit::RemoveAdapter { model, adapter } => {
            format!("remove adapter {} model {}", word(adapter), word(model))
        }
        ConfigEdit::RollModel {
            model,
            version,
            percent,
        } => format!("roll model {} to {} {percent}%", word(model), word(version)),
        ConfigEdit::RollBack { model } => format!("rollback model {}", word(model)),
        _ => return None,
    };
    Some(text)
}

fn fleet_text(edit: &ConfigEdit) -> String {
    match edit {
        ConfigEdit::Drain { target } => format!("drain {}", target_text(target)),
        ConfigEdit::Undrain { target } => format!("undrain {}", target_text(target)),
        ConfigEdit::SetMultiple { permille } => {
            format!("set multiple {}", permille_text(*permille))
        }
        ConfigEdit::AddService { service } => format!("add service {}", word(service)),
        ConfigEdit::RemoveService { service } => format!("remove service {}", word(service)),
        ConfigEdit::SetCall {
            service,
            pattern,
            repeat,
        } => {
            let repeat = match repeat {
                CallRepeat::Idempotent => "idempotent",
                CallRepeat::Once => "once",
                CallRepeat::ByMethod => "by-method",
            };
            let (method, path) = (word(&pattern.method), word(&pattern.path));
            format!("set service {} {repeat} {method} {path}", word(service))
        }
        ConfigEdit::AddMember { member, address } => {
            format!("add member {} {}", word(member), word(address))
        }
        ConfigEdit::RemoveMember { member } => format!("remove member {}", word(member)),
        ConfigEdit::AddOperator { operator, key } => {
            format!("add operator {} {key}", word(operator))
        }
        ConfigEdit::RemoveOperator { operator, key } => {
            format!("remove operator {} {key}", word(operator))
        }
        ConfigEdit::SetQuorumLoss { policy } => match policy {
            QuorumLoss::Refuse => "set quorum-loss refuse".to_owned(),
            QuorumLoss::GoOn { seconds } => format!("set quorum-loss go-on {seconds}s"),
        },
        ConfigEdit::SetClaims { rules } => format!("set claims{}", claims_text(rules)),
        // The remaining variants are formatted by `edit_text` and `model_text`.
        _ => String::new(),
    }
}

/// Formats a name as a word of a line, quoted if necessary.
fn word(name: &str) -> String {
    let is_bare = |character: char| !character.is_whitespace() && !"\";=!<>".contains(character);
    let is_keyword = name.eq_ignore_ascii_case("on");
    if !name.is_empty() && name.chars().all(is_bare) && !is_keyword {
        name.to_owned()
    } else {
        format!("\"{name}\"")
    }
}

fn part<T: ToString>(keyword: &str, value: Option<T>) -> String {
    value.map_or_else(String::new, |value| {
        format!(" {keyword} {}", value.to_string())
    })
}

fn limits_text(limits: &LimitsEdit) -> String {
    let per_s = |rate: Option<u32>| rate.map(|rate| format!("{rate}/s"));
    [
        part("rate", per_s(limits.requests_per_s)),
        part("tokens", per_s(limits.tokens_per_s)),
        part("concurrent", limits.concurrent),
        part("weight", limits.weight),
        part("priority", limits.priority),
    ]
    .concat()
}

fn claims_text(rules: &ClaimsEdit) -> String {
    let duration = |seconds: Option<u32>| seconds.map(|seconds| format!("{seconds}s"));
    [
        part("window", duration(rules.window_s)),
        part("keys", rules.per_customer),
        part("answer", rules.answer_bytes),
        part("budget", rules.answer_budget),
        part("spent", rules.spent_per_customer),
        part("skew", duration(rules.skew_s)),
        part("run", duration(rules.run_bound_s)),
    ]
    .concat()
}

fn replicas_text(range: &ReplicaRange) -> String {
    let ReplicaRange { min, max, wanted } = range;
    format!("replicas {min}..{max} wanted {wanted}")
}

fn target_text(target: &DrainTarget) -> String {
    match target {
        DrainTarget::Endpoint(name) => format!("endpoint {}", word(name)),
        DrainTarget::Node(name) => format!("node {}", word(name)),
        DrainTarget::Domain(name) => format!("domain {}", word(name)),
    }
}

/// Formats thousandths as a decimal number without trailing zeros.
pub(crate) fn permille_text(permille: u32) -> String {
    let text = format!("{}.{:03}", permille / 1000, permille % 1000);
    text.trim_end_matches('0').trim_end_matches('.').to_owned()
}
