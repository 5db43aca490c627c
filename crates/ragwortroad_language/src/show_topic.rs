/// What can be asked for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum ShowTopic {
    /// Every endpoint present.
    Endpoints,
    /// Engines with what they hold and shall hold.
    Engines,
    /// Customers and what they may use.
    Customers,
    /// Customers' limits.
    Limits,
    /// Models.
    Models,
    /// Versions of models with their shares.
    Versions,
    /// Plain services.
    Services,
    /// Members of the state group.
    Members,
    /// Who is in charge.
    Leader,
    /// Nodes and what each has in force.
    Nodes,
    /// Fleet-wide settings.
    Config,
    /// Orders to engines under way.
    Orders,
    /// Idempotency keys of each customer.
    Claims,
    /// Accepted changes, the latest first.
    Changes,
    /// What is drained.
    Drains,
    /// Operators.
    Operators,
}

impl ShowTopic {
    /// All topics.
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

    /// Its word in the language.
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

    /// The columns of its table, which are also the fields that `where` takes.
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
