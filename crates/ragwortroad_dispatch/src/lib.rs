//! Decisions of a fleet that forwards requests by host and path.
//!
//! An *edge* takes requests from callers and passes them on to endpoints; a *registry* holds the
//! site's configuration and hears the endpoints' announcements. This crate decides for both: which
//! route a request has, whose key it carries, which endpoints exist, where a request goes, when it
//! may be repeated, and who has a seat among the registries that vote. Nothing here reads a clock,
//! draws unseeded randomness, or does input or output.

mod address_choice;
mod admission_gate;
mod answer_patience;
mod come_back;
mod config_demand;
mod config_fault;
mod config_fetch;
mod copy_queue;
mod domain_drains;
mod domain_reach;
mod edge_directory;
mod edge_gathering;
mod edge_view;
mod endpoint_load;
mod endpoint_record;
mod endpoint_table;
mod fleet_load;
mod home_choice;
mod latency_limit;
mod load_totals;
mod place_board;
mod place_choice;
mod placed_text;
mod rank_share;
mod registry_table;
mod retry_budget;
mod route_map;
mod send_pace;
mod site_config;
mod start_wait;
mod stray_places;
mod text_source;
mod text_table;
mod update_queue;
mod usual_patience;
mod voter_plan;
mod warmup_pace;
mod warmup_share;

/// Everything a dependent crate usually needs.
pub mod prelude {
    pub use crate::{
        address_choice::{
            answer_life,
            choose_addresses, //
        },
        admission_gate::{
            AdmissionGate,
            GateAnswer,
            GateOffer,
            WaitTicket,
            gate_patience, //
        },
        answer_patience::answer_patience,
        come_back::come_back_time,
        config_demand::ConfigDemand,
        config_fault::ConfigFault,
        config_fetch::{
            ConfigFetch,
            ConfigSource, //
        },
        copy_queue::{
            CopyPlan,
            CopyQueue,
            CopyReferral, //
        },
        domain_drains::{
            DomainDrains,
            DrainOrder,
            DrainOutcome, //
        },
        domain_reach::DomainReach,
        edge_directory::EdgeDirectory,
        edge_gathering::{
            DirectoryGap,
            EdgeGathering, //
        },
        edge_view::EdgeView,
        endpoint_load::{
            EndpointLoad,
            LoadReading, //
        },
        endpoint_record::{
            EndpointRecord,
            EndpointStage, //
        },
        endpoint_table::{
            EndpointChange,
            EndpointKey,
            EndpointTable,
            SourceKey, //
        },
        fleet_load::{
            EndpointShare,
            FleetLoad,
            usable_slots, //
        },
        home_choice::{
            HomeCandidate,
            choose_home,
            prefer_registry, //
        },
        latency_limit::LatencyLimit,
        load_totals::{
            CountReport,
            EndpointTag,
            LoadCount,
            LoadSource,
            LoadTotals,
            load_pace, //
        },
        place_board::{
            PlaceBatch, //
            PlaceBoard,
            PlaceOrigin,
            PlaceReader,
        },
        place_choice::{
            PlaceCandidate,
            PlaceRequest,
            PlaceSettings,
            choose_engine,
            choose_replica,
            shared_key, //
        },
        placed_text::PlacedText,
        registry_table::{
            RegistryChange,
            RegistryTable,
            return_warmup, //
        },
        retry_budget::{
            BudgetSettings,
            RetryBudget, //
        },
        route_map::{
            CustomerKey,
            FullRank,
            RouteKey,
            RouteMap, //
        },
        send_pace::{
            SPREAD_EVERY,
            SendPace, //
        },
        site_config::{
            CallerLimits,
            CustomerRule,
            EngineRule,
            RequestKind,
            RouteRule,
            RouteTarget,
            ServiceRule,
            SiteConfig, //
        },
        start_wait::{
            start_left,
            start_wait, //
        },
        stray_places::StrayPlaces,
        text_source::{
            TextSource,
            choose_source, //
        },
        text_table::TextTable,
        update_queue::UpdateQueue,
        usual_patience::UsualPatience,
        voter_plan::{
            MemberSighting,
            VoterPlan,
            VoterSettings, //
        },
        warmup_pace::WarmupPace,
        warmup_share::{
            WarmupShare,
            choose_warmup_edges, //
        }, //
    };
}

pub use prelude::*;
