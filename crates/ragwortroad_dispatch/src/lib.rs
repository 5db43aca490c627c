//! Load balancing, admission and membership decisions of a fleet that routes requests by host and
//! path.
//!
//! An *edge* is a proxy that accepts requests from clients and forwards them to endpoints. A
//! *registry* stores the site's configuration and receives the endpoints' announcements. This crate
//! holds the decision logic of both: it matches routes, identifies customers by key, tracks
//! endpoints, selects an endpoint for each request, limits retries, and plans which registries
//! vote. It is deterministic: nothing here reads a clock, draws unseeded random numbers, or
//! performs I/O.

mod address_choice;
mod admission_gate;
mod admission_ratio;
mod brittle_services;
mod client_transfer;
mod config_fault;
mod config_fetch;
mod config_request;
mod copy_queue;
mod customer_load;
mod customer_report;
mod customer_shares;
mod customer_standing;
mod customer_totals;
mod customer_use;
mod deadline_estimate;
mod domain_drains;
mod domain_reach;
mod domain_set;
mod edge_directory;
mod edge_discovery;
mod edge_view;
mod endpoint_departure;
mod endpoint_figures;
mod endpoint_key;
mod endpoint_load;
mod endpoint_record;
mod endpoint_selection;
mod endpoint_table;
mod fair_queue;
mod figure_report;
mod figure_totals;
mod first_byte_timeout;
mod fleet_load;
mod home_choice;
mod keeper_candidate;
mod keeper_choice;
mod keeper_table;
mod known_version;
mod latency_limit;
mod learned_speed;
mod link_account;
mod load_totals;
mod location_log;
mod loss_tolerance;
mod memory_bound;
mod origin_lookup;
mod origin_table;
mod output_estimate;
mod pending_locations;
mod prefix_location;
mod prefix_source;
mod prefix_table;
mod queue_ticket;
mod ready_index;
mod ready_set;
mod record_fault;
mod registry_table;
mod relay_peer;
mod request_work;
mod retry_after;
mod retry_budget;
mod room_division;
mod route_map;
mod run_times;
mod send_pace;
mod service_reach;
mod service_versions;
mod share_inputs;
mod share_key;
mod site_config;
mod speed_table;
mod start_wait;
mod stream_origin;
mod time_figure;
mod update_queue;
mod version_ledger;
mod version_quorum;
mod version_tag;
mod voter_plan;
mod warmup_pace;
mod warmup_share;

/// Reexports the public items of this crate.
pub mod prelude {
    pub use crate::{
        address_choice::{
            choose_addresses, //
            response_ttl,
        },
        admission_gate::{
            AdmissionDecision,
            AdmissionGate,
            AdmissionRequest,
            max_queue_time, //
        },
        brittle_services::BrittleServices,
        client_transfer::{
            ClientTransfer,
            choose_slow_clients, //
        },
        config_fault::ConfigFault,
        config_fetch::{
            ConfigFetch,
            ConfigSource, //
        },
        config_request::ConfigRequest,
        copy_queue::{
            CopyPlan,
            CopyQueue,
            CopyReferral, //
        },
        customer_load::{
            CustomerLoad,
            CustomerTag, //
        },
        customer_report::CustomerReport,
        customer_shares::CustomerShares,
        customer_standing::CustomerStanding,
        customer_totals::CustomerTotals,
        deadline_estimate::DeadlineEstimate,
        domain_drains::{
            DomainDrains,
            DrainOrder,
            DrainOutcome, //
        },
        domain_reach::DomainReach,
        domain_set::{
            DomainKey,
            DomainSet, //
        },
        edge_directory::EdgeDirectory,
        edge_discovery::{
            DirectoryError,
            EdgeDiscovery, //
        },
        edge_view::EdgeView,
        endpoint_departure::EndpointDeparture,
        endpoint_figures::EndpointFigures,
        endpoint_key::EndpointKey,
        endpoint_load::{
            EndpointLoad,
            LoadReading, //
        },
        endpoint_record::{
            EndpointRecord,
            EndpointStage, //
        },
        endpoint_selection::{
            SelectionCandidate,
            SelectionRequest,
            SelectionSettings,
            SpeedTrade,
            choose_engine,
            choose_replica,
            choose_replica_by_speed,
            shared_prefix_key, //
        },
        endpoint_table::{
            EndpointChange,
            EndpointTable,
            SourceKey, //
        },
        figure_report::FigureReport,
        figure_totals::FigureTotals,
        first_byte_timeout::first_byte_timeout,
        fleet_load::{
            EndpointUsage,
            FleetLoad,
            usable_slots, //
        },
        home_choice::{
            HomeCandidate,
            choose_home,
            prefer_registry, //
        },
        keeper_candidate::{
            KeeperCandidate,
            choose_keeper_candidates, //
        },
        keeper_choice::{
            ScarceEndpoint,
            assign_keepers,
            is_overcommitted,
            is_scarce,
            keeper_limit, //
        },
        keeper_table::{
            KeeperDecision,
            KeeperTable,
            LeadOrder,
            may_try_keeper, //
        },
        known_version::KnownVersion,
        latency_limit::LatencyLimit,
        learned_speed::LearnedSpeed,
        link_account::LinkAccount,
        load_totals::{
            CountReport,
            EndpointTag,
            LoadCount,
            LoadSource,
            LoadTotals,
            load_interval_factor, //
        },
        location_log::{
            LocationBatch,
            LocationLog,
            LocationOrigin,
            LocationReader, //
        },
        loss_tolerance::LossTolerance,
        memory_bound::MemoryBound,
        origin_lookup::{
            OriginAnswer,
            OriginFinding,
            OriginLookup, //
        },
        origin_table::{
            OriginTable,
            STREAM_MEMORY, //
        },
        output_estimate::{
            ExpectedOutput,
            OutputEstimate, //
        },
        pending_locations::PendingLocations,
        prefix_location::PrefixLocation,
        prefix_source::{
            PrefixSource,
            choose_source, //
        },
        prefix_table::PrefixTable,
        queue_ticket::QueueTicket,
        ready_index::ReadyEndpoint,
        ready_set::ReadySet,
        record_fault::{
            RecordFault,
            check_name, //
        },
        registry_table::{
            RegistryChange,
            RegistryTable,
            undrain_warmup, //
        },
        relay_peer::{
            RelayCandidate,
            RelayKey,
            RelayPeer,
            choose_relay_peers,
            relay_limit, //
        },
        request_work::RequestWork,
        retry_after::retry_after_delay,
        retry_budget::{
            BudgetSettings,
            RetryBudget, //
        },
        route_map::{
            CustomerKey,
            RequestRank,
            RouteKey,
            RouteMap, //
        },
        run_times::RunTimes,
        send_pace::{
            SPREAD_INTERVAL,
            SendPace, //
        },
        service_reach::ServiceReach,
        service_versions::ServiceVersions,
        share_inputs::ShareInputs,
        share_key::ShareKey,
        site_config::{
            ClientLimits,
            CustomerRule,
            EngineRule,
            RequestKind,
            RouteRule,
            RouteTarget,
            ServiceRule,
            SiteConfig, //
        },
        speed_table::SpeedTable,
        start_wait::{
            start_wait,
            time_to_ready, //
        },
        stream_origin::{
            StreamKey,
            StreamOrigin, //
        },
        time_figure::TimeFigure,
        update_queue::UpdateQueue,
        version_ledger::{
            LedgerContent,
            VERSION_MEMORY,
            VERSION_SHARE_INTERVAL,
            VersionLedger, //
        },
        version_quorum::VersionQuorum,
        version_tag::{
            ServiceTag,
            VersionTag, //
        },
        voter_plan::{
            MemberStatus,
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
