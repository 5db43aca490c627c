//! The replicated state of the fleet: customers, models, leases, idempotency claims and operators'
//! changes.
//!
//! Every member of the consensus group applies the committed log entries to a [`FleetState`]. The
//! other types perform no I/O and work with that state: [`AdmissionTable`], [`OrderGate`],
//! [`OrderTable`] and [`LoadQueue`] on the leader, [`StalenessGuard`] on each node and
//! [`PromiseTracker`] on each member.
//!
//! ```
//! use ragwortroad_state::prelude::*;
//!
//! let mut state = FleetState::default();
//! let change = ChangeCommand {
//!     change_id: "first".to_owned(),
//!     base_revision: 0,
//!     operator: "asta".to_owned(),
//!     edits: vec![ConfigEdit::AddCustomer {
//!         customer: "studio-north".to_owned(),
//!     }],
//! };
//! let command = StateCommand {
//!     stamp: CommandStamp::default(),
//!     action: StateAction::Change(change),
//! };
//! let bytes = command.to_bytes();
//! let outcome = state.apply(1, &bytes).unwrap();
//! assert_eq!(outcome, ApplyOutcome::Changed(ChangeOutcome::Accepted { revision: 1 }));
//! // A command that is sent again gets the outcome of the first time.
//! assert_eq!(state.apply(2, &bytes).unwrap(), outcome);
//! assert_eq!(state.config().revision, 1);
//! ```

mod change;
mod claim;
mod config;
mod fleet_state;
mod grace_record;
mod order;
mod propagation;
mod snapshot_wire;
mod stamp_clock;
mod state_command;
mod state_time;

/// Everything a dependent crate usually needs.
pub mod prelude {
    pub use crate::{
        change::{
            accepted_change::AcceptedChange,
            change_command::ChangeCommand,
            change_log::{
                ChangeLog,
                MAX_KEPT_CHANGES,
                MAX_KEPT_OUTCOMES, //
            },
            change_outcome::ChangeOutcome,
            config_update::{
                ConfigUpdate,
                UpdateError, //
            }, //
        },
        claim::{
            claim_count::ClaimCount,
            claim_key::ClaimKey,
            claim_outcome::ClaimOutcome,
            claim_step::{
                ClaimAnswer,
                ClaimAttempt,
                ClaimResult,
                ClaimStep, //
            },
            claim_table::ClaimTable, //
        },
        config::{
            call_pattern::CallPattern,
            claim_rules::ClaimRules,
            config_edit::{
                CallRepeat,
                ClaimsEdit,
                ConfigEdit,
                LimitsEdit, //
            },
            config_fault::ConfigFault,
            customer_entry::{
                CustomerEntry,
                CustomerLimits,
                ModelAccess, //
            },
            drain_target::DrainTarget,
            fleet_config::FleetConfig,
            key_hash::KeyHash,
            key_index::{
                KeyIndex,
                KeyOwner, //
            },
            model_entry::{
                ModelEntry,
                ReplicaRange, //
            },
            quorum_loss::QuorumLoss,
            service_entry::ServiceEntry, //
        },
        fleet_state::{
            ApplyError,
            ApplyOutcome,
            FleetState, //
        },
        order::{
            engine_observation::EngineObservation,
            engine_order::{
                EngineOrder,
                OrderAction,
                OrderId, //
            },
            engine_target::{
                EngineRole,
                EngineTarget, //
            },
            lease_table::LeaseTable,
            load_queue::{
                LoadQueue,
                LoadRate, //
            },
            order_gate::{
                GateRefusal,
                OrderGate, //
            },
            order_key::OrderKey,
            order_plan::{
                OrderPlan,
                PlanOutcome, //
            },
            order_settings::OrderSettings,
            order_table::OrderTable,
            order_timing::OrderTiming, //
        },
        propagation::{
            admission_table::{
                AdmissionTable,
                NodeRun, //
            },
            follow_timing::FollowTiming,
            in_force_wait::InForceWait,
            promise_tracker::PromiseTracker, //
            staleness_guard::{
                NotCurrent, //
                StalenessGuard,
            },
        },
        snapshot_wire::{
            SNAPSHOT_VERSION,
            SnapshotError, //
        },
        stamp_clock::{
            CommandStamp,
            StampClock, //
        },
        state_command::{
            COMMAND_VERSION,
            CommandError,
            StateAction,
            StateCommand, //
        },
        state_time::StateTime, //
    };
}

pub use prelude::*;
