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

/// One edit of the configuration. A change is a list of edits that takes effect as a whole.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ConfigEdit {
    /// Adds a customer with the default limits.
    AddCustomer {
        /// The name of the new or removed entry.
        customer: String,
    },
    /// Removes a customer.
    RemoveCustomer {
        /// The name of the new or removed entry.
        customer: String,
    },
    /// Sets limits of a customer; fields that are `None` keep their values.
    SetLimits {
        /// The customer's name.
        customer: String,
        /// The limits to set.
        limits: LimitsEdit,
    },
    /// Adds an API key to a customer.
    AddKey {
        /// The customer's name.
        customer: String,
        /// The hash of the API key.
        key: KeyHash,
    },
    /// Removes an API key from a customer.
    RemoveKey {
        /// The customer's name.
        customer: String,
        /// The hash of the API key.
        key: KeyHash,
    },
    /// Allows a customer to use a model and, if given, one of its adapters.
    AllowModel {
        /// The customer's name.
        customer: String,
        /// The model's name.
        model: String,
        /// The adapter's name.
        adapter: Option<String>,
        /// The version that all the customer's requests use; `None` leaves it as it is.
        version: Option<String>,
    },
    /// Forbids a customer to use a model or, if an adapter is given, only that adapter.
    DenyModel {
        /// The customer's name.
        customer: String,
        /// The model's name.
        model: String,
        /// The adapter's name.
        adapter: Option<String>,
    },
    /// Allows a customer to call a service.
    AllowService {
        /// The customer's name.
        customer: String,
        /// The service's name.
        service: String,
    },
    /// Forbids a customer to call a service.
    DenyService {
        /// The customer's name.
        customer: String,
        /// The service's name.
        service: String,
    },
    /// Declares that a customer's idempotency keys past the window will not be used again.
    ForgetKeys {
        /// The customer's name.
        customer: String,
    },
    /// Adds a model.
    AddModel {
        /// The name of the new or removed entry.
        model: String,
        /// The version that gets all chats at first.
        version: String,
        /// How many engines load the model.
        replicas: ReplicaRange,
        /// Size of the model's weights in megabytes.
        size_mb: u32,
    },
    /// Removes a model.
    RemoveModel {
        /// The name of the new or removed entry.
        model: String,
    },
    /// Sets how many engines load a model.
    SetReplicas {
        /// The model's name.
        model: String,
        /// The new replica counts.
        replicas: ReplicaRange,
    },
    /// Adds an adapter to a model.
    AddAdapter {
        /// The model's name.
        model: String,
        /// The adapter's name.
        adapter: String,
    },
    /// Removes an adapter from a model.
    RemoveAdapter {
        /// The model's name.
        model: String,
        /// The adapter's name.
        adapter: String,
    },
    /// Sets the share of new chats that a version gets, as a step of a rollout.
    RollModel {
        /// The model's name.
        model: String,
        /// The version's name.
        version: String,
        /// The version's share of new chats, in percent.
        percent: u32,
    },
    /// Restores the version shares from before the rollout.
    RollBack {
        /// The model's name.
        model: String,
    },
    /// Stops new work for an endpoint, a node or a failure domain.
    Drain {
        /// What the drain applies to.
        target: DrainTarget,
    },
    /// Ends a drain.
    Undrain {
        /// What the drain applies to.
        target: DrainTarget,
    },
    /// Sets the upper bound on an engine's load.
    SetMultiple {
        /// The bound in thousandths of the fleet's mean load.
        permille: u32,
    },
    /// Adds a plain service.
    AddService {
        /// The name of the new or removed entry.
        service: String,
    },
    /// Removes a plain service.
    RemoveService {
        /// The name of the new or removed entry.
        service: String,
    },
    /// Declares whether calls that match a pattern may be sent more than once.
    SetCall {
        /// The service's name.
        service: String,
        /// The calls it applies to.
        pattern: CallPattern,
        /// Whether the calls may be sent more than once.
        repeat: CallRepeat,
    },
    /// Adds a member to the consensus group.
    AddMember {
        /// The name of the member's node.
        member: String,
        /// The `IP:port` at which the other members reach it.
        address: String,
    },
    /// Removes a member from the consensus group.
    RemoveMember {
        /// The name of the member's node.
        member: String,
    },
    /// Adds an API key to an operator; creates the operator with the first key.
    AddOperator {
        /// The name of the operator.
        operator: String,
        /// The hash of the API key.
        key: KeyHash,
    },
    /// Removes an API key from an operator; removes the operator with the last key.
    RemoveOperator {
        /// The name of the operator.
        operator: String,
        /// The hash of the API key.
        key: KeyHash,
    },
    /// Sets what a node does when it cannot confirm that its configuration is current.
    SetQuorumLoss {
        /// The new policy.
        policy: QuorumLoss,
    },
    /// Sets rules for idempotency keys; fields that are `None` keep their values.
    SetClaims {
        /// The rules to set.
        rules: ClaimsEdit,
    },
}

impl ConfigEdit {
    /// Whether the edit adds or removes a member of the consensus group.
    pub fn changes_membership(&self) -> bool {
        matches!(self, Self::AddMember { .. } | Self::RemoveMember { .. })
    }
}

/// The limits that an edit sets; `None` keeps the current value.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct LimitsEdit {
    /// Requests per second.
    pub requests_per_s: Option<u32>,
    /// Tokens per second, prompt and output together.
    pub tokens_per_s: Option<u32>,
    /// Concurrent requests.
    pub concurrent: Option<u32>,
    /// Relative share of capacity when the fleet is saturated.
    pub weight: Option<u32>,
    /// Scheduling priority at engines; a lower value is served first.
    pub priority: Option<u8>,
}

/// The idempotency rules that an edit sets; `None` keeps the current value. See
/// [`ClaimRules`](crate::ClaimRules).
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ClaimsEdit {
    /// Seconds for which the full outcome of a key is remembered.
    pub window_s: Option<u32>,
    /// Keys per customer with a full record.
    pub per_customer: Option<u32>,
    /// Bytes of the largest recorded response.
    pub answer_bytes: Option<u32>,
    /// Total bytes of recorded responses per customer.
    pub answer_budget: Option<u32>,
    /// Fingerprints per customer of undated keys past the window.
    pub spent_per_customer: Option<u32>,
    /// Seconds by which a dated key may be ahead of the members' wall clocks.
    pub skew_s: Option<u32>,
    /// Seconds after which a claim without an outcome is reported as unknown.
    pub run_bound_s: Option<u32>,
}

/// Whether calls may be sent more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CallRepeat {
    /// The calls are idempotent and may be repeated.
    Idempotent,
    /// The calls run at most once, whatever their method.
    Once,
    /// GET and HEAD may be repeated, other methods may not.
    ByMethod,
}
