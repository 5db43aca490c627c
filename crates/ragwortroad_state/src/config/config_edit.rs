use serde::{
    Deserialize,
    Serialize, //
};

use crate::{
    CallPattern,
    DrainTarget,
    KeyHash,
    QuorumLoss,
    ReplicaRange, //
};

/// One edit of the configuration; a change is a list of them that takes effect as a whole.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ConfigEdit {
    /// A new customer with the default limits.
    AddCustomer {
        /// Its name.
        customer: String,
    },
    /// A customer leaves.
    RemoveCustomer {
        /// Its name.
        customer: String,
    },
    /// New limits; what is not given stays.
    SetLimits {
        /// The customer.
        customer: String,
        /// The limits that change.
        limits: LimitsEdit,
    },
    /// One more key.
    AddKey {
        /// The customer.
        customer: String,
        /// The key's hash.
        key: KeyHash,
    },
    /// A key goes.
    RemoveKey {
        /// The customer.
        customer: String,
        /// The key's hash.
        key: KeyHash,
    },
    /// The customer may use a model, and an adapter where one is named.
    AllowModel {
        /// The customer.
        customer: String,
        /// The model.
        model: String,
        /// The adapter.
        adapter: Option<String>,
        /// The version the customer always gets.
        version: Option<String>,
    },
    /// The customer may no longer use a model, or only the adapter where one is named.
    DenyModel {
        /// The customer.
        customer: String,
        /// The model.
        model: String,
        /// The adapter.
        adapter: Option<String>,
    },
    /// The customer may call a service.
    AllowService {
        /// The customer.
        customer: String,
        /// The service.
        service: String,
    },
    /// The customer may no longer call a service.
    DenyService {
        /// The customer.
        customer: String,
        /// The service.
        service: String,
    },
    /// The customer's idempotency keys past the window will not come again.
    ForgetKeys {
        /// The customer.
        customer: String,
    },
    /// A new model.
    AddModel {
        /// Its name.
        model: String,
        /// Its first version.
        version: String,
        /// How many engines hold it.
        replicas: ReplicaRange,
        /// Size of its weights.
        size_mb: u32,
    },
    /// A model goes.
    RemoveModel {
        /// Its name.
        model: String,
    },
    /// How many engines hold a model.
    SetReplicas {
        /// The model.
        model: String,
        /// The numbers.
        replicas: ReplicaRange,
    },
    /// A model can be used with an adapter.
    AddAdapter {
        /// The model.
        model: String,
        /// The adapter.
        adapter: String,
    },
    /// A model can no longer be used with an adapter.
    RemoveAdapter {
        /// The model.
        model: String,
        /// The adapter.
        adapter: String,
    },
    /// A step of a rollout: the version gets so many percent of new chats.
    RollModel {
        /// The model.
        model: String,
        /// The version.
        version: String,
        /// Its share of new chats.
        percent: u32,
    },
    /// Back to the shares before the rollout.
    RollBack {
        /// The model.
        model: String,
    },
    /// An endpoint or node gets no new work.
    Drain {
        /// Which.
        target: DrainTarget,
    },
    /// An endpoint or node gets work again.
    Undrain {
        /// Which.
        target: DrainTarget,
    },
    /// The load multiple in thousandths.
    SetMultiple {
        /// Thousandths of the mean.
        permille: u32,
    },
    /// A new plain service.
    AddService {
        /// Its name.
        service: String,
    },
    /// A plain service goes.
    RemoveService {
        /// Its name.
        service: String,
    },
    /// Whether calls under a pattern may be repeated.
    SetCall {
        /// The service.
        service: String,
        /// The calls.
        pattern: CallPattern,
        /// Whether they may be repeated.
        repeat: CallRepeat,
    },
    /// A new member.
    AddMember {
        /// Its node's name.
        member: String,
        /// Its `IP:port` towards the other members.
        address: String,
    },
    /// A member leaves.
    RemoveMember {
        /// Its node's name.
        member: String,
    },
    /// One more key of an operator, who is new with the first.
    AddOperator {
        /// The operator's name.
        operator: String,
        /// The key's hash.
        key: KeyHash,
    },
    /// A key of an operator goes, and the operator with the last.
    RemoveOperator {
        /// The operator's name.
        operator: String,
        /// The key's hash.
        key: KeyHash,
    },
    /// What nodes do that cannot confirm that they are current.
    SetQuorumLoss {
        /// The policy.
        policy: QuorumLoss,
    },
    /// How idempotency keys are remembered; what is not given stays.
    SetClaims {
        /// The rules that change.
        rules: ClaimsEdit,
    },
}

impl ConfigEdit {
    /// Whether it adds or removes a member.
    pub fn changes_membership(&self) -> bool {
        matches!(self, Self::AddMember { .. } | Self::RemoveMember { .. })
    }
}

/// The limits that an edit changes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct LimitsEdit {
    /// Requests a second.
    pub requests_per_s: Option<u32>,
    /// Tokens a second.
    pub tokens_per_s: Option<u32>,
    /// Requests at once.
    pub concurrent: Option<u32>,
    /// Share when the fleet is full.
    pub weight: Option<u32>,
    /// Scheduling priority.
    pub priority: Option<u8>,
}

/// The rules on idempotency keys that an edit changes; see [`ClaimRules`](crate::ClaimRules).
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ClaimsEdit {
    /// Seconds remembered in full.
    pub window_s: Option<u32>,
    /// Keys of one customer.
    pub per_customer: Option<u32>,
    /// Bytes of the largest recorded answer.
    pub answer_bytes: Option<u32>,
    /// Bytes of one customer's recorded answers.
    pub answer_budget: Option<u32>,
    /// Keys of one customer past the window.
    pub spent_per_customer: Option<u32>,
    /// Seconds a dated key may be ahead.
    pub skew_s: Option<u32>,
    /// Seconds until a claim without an outcome is unknown.
    pub run_bound_s: Option<u32>,
}

/// Whether calls may be repeated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CallRepeat {
    /// They are idempotent.
    Idempotent,
    /// They run at most once, whatever their method.
    Once,
    /// As their method says.
    ByMethod,
}
