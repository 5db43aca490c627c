use std::{
    fmt,
    str::FromStr, //
};

use serde::{
    Deserialize,
    Serialize, //
};

use crate::{
    TimelineError,
    timeline_error::UnknownKindSnafu, //
};

/// What happened.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EventKind {
    /// This process started.
    ProcessStarted,
    /// This process is shutting down.
    ProcessStopping,
    /// A node appeared or came back.
    NodeUp,
    /// A node is silent.
    NodeSuspected,
    /// A node is taken for gone.
    NodeDown,
    /// A node said that it is shutting down.
    NodeLeaving,
    /// This state member stands for election.
    ElectionStarted,
    /// This state member was elected leader.
    LeaderElected,
    /// This state member is no longer leader.
    LeaderDeposed,
    /// The right to give orders to engines was granted.
    LeaseGranted,
    /// The right to give orders to engines ended.
    LeaseEnded,
    /// A change of the configuration is durable on a quorum.
    ChangeAccepted,
    /// A change of the configuration was refused.
    ChangeRefused,
    /// This node acts upon a revision of the configuration.
    ChangeInForce,
    /// This node cannot confirm that its configuration is current, and admits no work.
    CurrencyLost,
    /// This node confirmed that its configuration is current.
    CurrencyRegained,
    /// The set of state members changed.
    MembersChanged,
    /// An endpoint announced itself for the first time, or again after it was gone.
    EndpointJoined,
    /// An endpoint said that it will stop.
    EndpointLeaving,
    /// An endpoint is gone.
    EndpointLeft,
    /// An endpoint flaps and gets no new work for a while.
    EndpointDamped,
    /// Another node is home to an endpoint.
    HomeChanged,
    /// An order was sent to an endpoint.
    OrderSent,
    /// An endpoint answered an order.
    OrderAnswered,
    /// An operator wants an endpoint or node to get no new work.
    DrainStarted,
    /// Nothing is running any more on what was to be drained.
    DrainFinished,
    /// A request may run.
    RequestAdmitted,
    /// A request was refused.
    RequestRefused,
    /// A request's first byte is about to be sent to an endpoint.
    RequestDispatched,
    /// An attempt failed and is made again elsewhere.
    RequestRetried,
    /// A request ended.
    RequestFinished,
    /// A chat goes to another endpoint than before.
    ChatMoved,
    /// A non-idempotent request was claimed durably.
    ClaimMade,
    /// The outcome of a claimed request was recorded.
    ClaimFinished,
}

impl EventKind {
    /// All kinds, in the order of their declaration.
    pub const ALL: [Self; 34] = [
        Self::ProcessStarted,
        Self::ProcessStopping,
        Self::NodeUp,
        Self::NodeSuspected,
        Self::NodeDown,
        Self::NodeLeaving,
        Self::ElectionStarted,
        Self::LeaderElected,
        Self::LeaderDeposed,
        Self::LeaseGranted,
        Self::LeaseEnded,
        Self::ChangeAccepted,
        Self::ChangeRefused,
        Self::ChangeInForce,
        Self::CurrencyLost,
        Self::CurrencyRegained,
        Self::MembersChanged,
        Self::EndpointJoined,
        Self::EndpointLeaving,
        Self::EndpointLeft,
        Self::EndpointDamped,
        Self::HomeChanged,
        Self::OrderSent,
        Self::OrderAnswered,
        Self::DrainStarted,
        Self::DrainFinished,
        Self::RequestAdmitted,
        Self::RequestRefused,
        Self::RequestDispatched,
        Self::RequestRetried,
        Self::RequestFinished,
        Self::ChatMoved,
        Self::ClaimMade,
        Self::ClaimFinished,
    ];

    /// Whether events of this kind come with every request, and so in large numbers.
    pub fn is_traffic(self) -> bool {
        self >= Self::RequestAdmitted
    }

    /// Whether a person looking for trouble should see it first.
    pub fn is_alarming(self) -> bool {
        matches!(
            self,
            Self::NodeSuspected
                | Self::NodeDown
                | Self::LeaderDeposed
                | Self::ChangeRefused
                | Self::CurrencyLost
                | Self::EndpointLeft
                | Self::EndpointDamped
                | Self::RequestRefused
                | Self::RequestRetried
        )
    }

    /// The name used in every printed form.
    pub fn name(self) -> &'static str {
        match self {
            Self::ProcessStarted => "process_started",
            Self::ProcessStopping => "process_stopping",
            Self::NodeUp => "node_up",
            Self::NodeSuspected => "node_suspected",
            Self::NodeDown => "node_down",
            Self::NodeLeaving => "node_leaving",
            Self::ElectionStarted => "election_started",
            Self::LeaderElected => "leader_elected",
            Self::LeaderDeposed => "leader_deposed",
            Self::LeaseGranted => "lease_granted",
            Self::LeaseEnded => "lease_ended",
            Self::ChangeAccepted => "change_accepted",
            Self::ChangeRefused => "change_refused",
            Self::ChangeInForce => "change_in_force",
            Self::CurrencyLost => "currency_lost",
            Self::CurrencyRegained => "currency_regained",
            Self::MembersChanged => "members_changed",
            Self::EndpointJoined => "endpoint_joined",
            Self::EndpointLeaving => "endpoint_leaving",
            Self::EndpointLeft => "endpoint_left",
            Self::EndpointDamped => "endpoint_damped",
            Self::HomeChanged => "home_changed",
            Self::OrderSent => "order_sent",
            Self::OrderAnswered => "order_answered",
            Self::DrainStarted => "drain_started",
            Self::DrainFinished => "drain_finished",
            Self::RequestAdmitted => "request_admitted",
            Self::RequestRefused => "request_refused",
            Self::RequestDispatched => "request_dispatched",
            Self::RequestRetried => "request_retried",
            Self::RequestFinished => "request_finished",
            Self::ChatMoved => "chat_moved",
            Self::ClaimMade => "claim_made",
            Self::ClaimFinished => "claim_finished",
        }
    }
}

impl fmt::Display for EventKind {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.pad(self.name())
    }
}

impl FromStr for EventKind {
    type Err = TimelineError;

    fn from_str(name: &str) -> Result<Self, Self::Err> {
        if let Some(kind) = Self::ALL.into_iter().find(|kind| kind.name() == name) {
            return Ok(kind);
        }
        let known: Vec<&str> = Self::ALL.into_iter().map(Self::name).collect();
        let known = known.join(", ");
        UnknownKindSnafu { name, known }.fail()
    }
}
