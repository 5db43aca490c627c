/// The topic of a query.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum ShowTopic {
    /// Every known endpoint.
    Endpoints,
    /// Engines with the models they have loaded and are planned to load.
    Engines,
    /// Customers and the models and services they may use.
    Customers,
    /// Customers' limits.
    Limits,
    /// Models with their versions, adapters and replica counts.
    Models,
    /// Versions of models with their shares of new chats.
    Versions,
    /// Plain services and which of their calls may be repeated.
    Services,
    /// Members of the consensus group.
    Members,
    /// The leader of the consensus group.
    Leader,
    /// Nodes and the revision that each has in force.
    Nodes,
    /// Fleet-wide settings.
    Config,
    /// Pending orders to engines.
    Orders,
    /// Numbers of idempotency keys per customer.
    Claims,
    /// Accepted changes, latest first.
    Changes,
    /// Drained endpoints, nodes and failure domains.
    Drains,
    /// Operators and their API keys.
    Operators,
}

impl ShowTopic {
    /// All topics, in the order in which errors list them.
    pub const ALL: [Self; 16] = [
        Self::Endpoints,
        Self::Engines,
        Self::Customers,
        Self::Limits,
        Self::Models,
        Self::Versions,
        Self::Services,
        Self::Members,
        Self::Leader,
        Self::Nodes,
        Self::Config,
        Self::Orders,
        Self::Claims,
        Self::Changes,
        Self::Drains,
        Self::Operators,
    ];

    /// The topic's keyword in the language.
    pub fn name(self) -> &'static str {
        match self {
            Self::Endpoints => "endpoints",
            Self::Engines => "engines",
            Self::Customers => "customers",
            Self::Limits => "limits",
            Self::Models => "models",
            Self::Versions => "versions",
            Self::Services => "services",
            Self::Members => "members",
            Self::Leader => "leader",
            Self::Nodes => "nodes",
            Self::Config => "config",
            Self::Orders => "orders",
            Self::Claims => "claims",
            Self::Changes => "changes",
            Self::Drains => "drains",
            Self::Operators => "operators",
        }
    }

    /// The columns of the topic's table, which are also the fields that `where` accepts.
    pub fn columns(self) -> &'static [&'static str] {
        match self {
            Self::Endpoints => &[
                "name", "kind", "zone", "address", "state", "running", "queued", "capacity", "home",
            ],
            Self::Engines => &[
                "name",
                "zone",
                "state",
                "holds",
                "shall_hold",
                "role",
                "running",
                "queued",
            ],
            Self::Customers => &["name", "keys", "models", "services"],
            Self::Limits => &[
                "customer",
                "rate",
                "tokens",
                "concurrent",
                "weight",
                "priority",
            ],
            Self::Models => &[
                "name",
                "versions",
                "adapters",
                "min",
                "wanted",
                "max",
                "size_mb",
                "rolling_to",
            ],
            Self::Versions => &["model", "version", "percent", "before"],
            Self::Services => &["name", "idempotent", "once"],
            Self::Members => &["name", "address", "state", "applied"],
            Self::Leader => &["name", "term", "fence", "lease_ms"],
            Self::Nodes => &[
                "name", "zone", "state", "address", "revision", "admits", "draining",
            ],
            Self::Config => &["setting", "value"],
            Self::Orders => &["id", "engine", "action", "state"],
            Self::Claims => &["customer", "kept", "running", "spent"],
            Self::Changes => &["revision", "id", "operator", "accepted_ms", "edits"],
            Self::Drains => &["kind", "name"],
            Self::Operators => &["name", "keys"],
        }
    }
}
