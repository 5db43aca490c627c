//! Routing decisions: placement, load bounds, limits and retries.
//!
//! Nothing here does I/O, reads a clock, starts a thread or generates random numbers. Time and all
//! observations are inputs, so that every decision can be replayed.
//!
//! ```
//! use ragwortroad_routing::prelude::*;
//! use ragwortroad_types::prelude::*;
//!
//! let node = NodeId::from_name("entry-1");
//! let mut table = RouteTable::new(RouteSettings { node, ..RouteSettings::default() });
//! let offer = OfferKey::model("tutor-llm", "v1", None);
//! let engine = EndpointFacts {
//!     id: EndpointId::from_name("engine-1"),
//!     kind: EndpointKind::Engine,
//!     fleet: FleetKey::from_name("tutor-llm"),
//!     zone: ZoneKey::from_name("lagos-ikeja"),
//!     capacity: 16,
//!     offers: vec![offer],
//!     home: node,
//!     leaving: false,
//!     drained: false,
//! };
//! table.upsert_endpoint(engine, ClockTime::ZERO);
//! let query = RouteQuery { offer, chat: Some(ChatKey(17)), ..RouteQuery::default() };
//! let decision = table.choose(&query, ClockTime(1));
//! let RouteDecision::Admit { endpoint, slot, .. } = decision else {
//!     panic!("an idle engine of this node was refused: {decision:?}");
//! };
//! table.release(endpoint, slot, SlotOutcome::Succeeded, ClockTime(900));
//! ```

mod key;
mod limit;
mod place;
mod retry;
mod table;

/// Common imports for dependent crates.
pub mod prelude {
    pub use crate::{
        key::{
            customer_key::CustomerKey,
            endpoint_key::EndpointKey,
            fleet_key::FleetKey,
            offer_key::OfferKey,
            slot_id::SlotId,
            zone_key::ZoneKey, //
        },
        limit::{
            customer_limit::CustomerLimit,
            customer_limiter::CustomerLimiter,
            demand_digest::{
                DemandDigest,
                DemandEntry, //
            },
            limit_answer::LimitAnswer,
            limiter_settings::LimiterSettings,
            share_digest::{
                ShareDigest,
                ShareEntry, //
            },
        },
        place::{
            migration_method::{
                MigrationCost,
                MigrationMethod, //
            },
            placement_input::{
                EngineSnapshot,
                OfferDemand,
                PlacementInput, //
            },
            placement_plan::{
                PlacementOrder,
                PlacementPlan,
                PlacementSettings, //
            },
            version_plan::{
                VersionPlan,
                VersionWeight, //
            },
        },
        retry::{
            crash_settings::CrashSettings,
            crash_table::CrashTable,
            outlier_settings::OutlierSettings,
            outlier_table::OutlierTable,
            part_settings::PartSettings,
            part_table::{
                BlamedPart,
                PartTable, //
            },
            rest_table::RestTable,
            retry_budget::RetryBudget,
            retry_policy::{
                FailedAttempt,
                RetryPolicy, //
            },
        },
        table::{
            admission_class::AdmissionClass,
            endpoint_facts::EndpointFacts,
            hint_codec::HintCodec,
            load_bound::LoadBound,
            load_digest::LoadDigest,
            route_decision::{
                RouteDecision,
                RouteReason, //
            },
            route_query::RouteQuery,
            route_settings::RouteSettings,
            route_table::RouteTable,
            slot_answer::SlotAnswer,
            slot_outcome::SlotOutcome, //
        },
    };
}

pub use prelude::*;
