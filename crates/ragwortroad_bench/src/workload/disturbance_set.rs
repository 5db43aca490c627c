use serde::{
    Deserialize,
    Serialize, //
};

/// What goes wrong during a run.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct DisturbanceSet {
    /// An engine leaves, crashes or joins every ten seconds.
    pub churn: bool,
    /// Half of the nodes learn of changes five seconds late.
    pub differing_views: bool,
    /// Three customers ask four times as much for a third of the run.
    pub surge: bool,
    /// Reports and cache events are two seconds late.
    pub late_reports: bool,
    /// One cache event in five is lost.
    pub event_gaps: bool,
    /// One failure domain, nodes and engines, is gone for fifteen seconds.
    pub zone_loss: bool,
    /// A node restarts every twenty seconds and has forgotten everything.
    pub node_restarts: bool,
}

impl DisturbanceSet {
    /// Nothing goes wrong.
    pub const CALM: Self = Self {
        churn: false,
        differing_views: false,
        surge: false,
        late_reports: false,
        event_gaps: false,
        zone_loss: false,
        node_restarts: false,
    };
    /// Everything at once.
    pub const ALL: Self = Self {
        churn: true,
        differing_views: true,
        surge: true,
        late_reports: true,
        event_gaps: true,
        zone_loss: true,
        node_restarts: true,
    };
    /// Engines come and go, nothing else.
    pub const CHURN: Self = Self {
        churn: true,
        ..Self::CALM
    };

    /// The set called `name`: `calm`, `all`, or names of single disturbances joined by `+`.
    pub fn from_name(name: &str) -> Option<Self> {
        let mut set = Self::CALM;
        for part in name.split('+') {
            match part {
                "calm" => {}
                "all" => set = Self::ALL,
                "churn" => set.churn = true,
                "differing_views" => set.differing_views = true,
                "surge" => set.surge = true,
                "late_reports" => set.late_reports = true,
                "event_gaps" => set.event_gaps = true,
                "zone_loss" => set.zone_loss = true,
                "node_restarts" => set.node_restarts = true,
                _ => return None,
            }
        }
        Some(set)
    }

    /// The name that [`Self::from_name`] reads.
    pub fn name(&self) -> String {
        if *self == Self::ALL {
            return "all".to_owned();
        }
        let parts = [
            (self.churn, "churn"),
            (self.differing_views, "differing_views"),
            (self.surge, "surge"),
            (self.late_reports, "late_reports"),
            (self.event_gaps, "event_gaps"),
            (self.zone_loss, "zone_loss"),
            (self.node_restarts, "node_restarts"),
        ];
        let names: Vec<&str> = parts
            .iter()
            .filter(|(on, _)| *on)
            .map(|(_, name)| *name)
            .collect();
        if names.is_empty() {
            return "calm".to_owned();
        }
        names.join("+")
    }
}
