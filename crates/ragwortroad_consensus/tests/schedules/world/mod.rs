//! A simulated group with fake disks, clocks and messages, driven by one seed.

mod fault_kind;
mod sim_checker;
mod sim_client;
mod sim_clock;
mod sim_counts;
mod sim_faults;
mod sim_network;
mod sim_node;
mod sim_operator;
mod sim_plan;
mod sim_process;
mod sim_state;
mod sim_world;

pub(crate) use fault_kind::FaultKind;
pub(crate) use sim_checker::SimChecker;
pub(crate) use sim_clock::SimClock;
pub(crate) use sim_counts::SimCounts;
pub(crate) use sim_node::SimNode;
pub(crate) use sim_operator::SimOperator;
pub(crate) use sim_plan::SimPlan;
pub(crate) use sim_process::SimProcess;
pub(crate) use sim_state::SimState;
pub(crate) use sim_world::{
    SimEvent,
    SimWorld, //
};
