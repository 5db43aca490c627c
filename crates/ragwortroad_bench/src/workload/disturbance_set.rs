use serde::{
    Deserialize,
    Serialize, //
};

/// The disturbances that a run includes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct DisturbanceSet {
    /// Every ten seconds an engine leaves or crashes; a replacement starts a few seconds later.
    pub churn: bool,
    /// Half of the nodes receive membership updates five seconds late.
    pub differing_views: bool,
    /// Three customers send four times their usual rate for a third of the run.
    pub surge: bool,
    /// Load reports and cache events are two seconds late.
    pub late_reports: bool,
    /// One in five cache events is lost.
    pub event_gaps: bool,
    /// The nodes and engines of one failure domain fail for fifteen seconds.
    pub zone_loss: bool,
    /// Every twenty seconds a node restarts and loses its state.
    pub node_restarts: bool,
}

impl DisturbanceSet {
    /// No disturbances.
    pub const CALM: Self = Self {
        churn: false,
        differing_views: false,
        surge: false,
        late_reports: false,
        event_gaps: false,
        zone_loss: false,
        node_restarts: false,
    };
    /// All disturbances.
    pub const ALL: Self = Self {
        churn: true,
        differing_views: true,
        surge: true,
        late_reports: true,
        event_gaps: true,
        zone_loss: true,
        node_restarts: true,
    };
    /// Engine churn only.
    pub const CHURN: Self = Self {
        churn: true,
        ..Self::CALM
    };

    /// Parses `calm`, `all`, or names of single disturbances joined by `+`; returns `None` for an
    /// unknown name.
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

    /// Returns the name that [`Self::from_name`] parses.
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
