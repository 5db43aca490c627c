use std::time::Duration;

/// Settings of a load run.
#[derive(Clone, Debug, PartialEq)]
pub struct LoadSettings {
    /// `IP:port` of the seed nodes, which are queried for addresses.
    pub nodes: Vec<String>,
    /// Customers that send requests.
    pub customers: Vec<CustomerLoad>,
    /// The model that chats request.
    pub model: String,
    /// The plain service that bookings and reads go to.
    pub service: String,
    /// Seed of the random number generator.
    pub seed: u64,
    /// Period in which requests become due; responses may arrive later.
    pub duration: Duration,
    /// New chats per second.
    pub chats_per_second: f64,
    /// Turns per chat.
    pub turns: u32,
    /// Mean time between the due times of a chat's turns.
    pub think_time: Duration,
    /// Bookings per second, without the resends.
    pub bookings_per_second: f64,
    /// Percentage of bookings that are sent again under the same key, through another node.
    pub resend_percent: u32,
    /// Reads per second.
    pub reads_per_second: f64,
    /// Percentage of chat turns that are streamed.
    pub stream_percent: u32,
    /// Length in bytes of the system prompt, which all chats of a customer share.
    pub system_prompt_bytes: usize,
    /// Length in bytes of each user message.
    pub message_bytes: usize,
    /// Tokens per chat response.
    pub answer_tokens: u32,
    /// A period in which some customers start more chats; `None` for a constant rate.
    pub surge: Option<SurgePlan>,
    /// Deadline of each request, sent as `X-Deadline-Ms`; no retry starts after it.
    pub deadline: Duration,
    /// Maximum number of attempts per request.
    pub max_attempts: u32,
    /// Number of client threads, each with one request in flight.
    pub client_threads: usize,
    /// Whether to check chat responses; this requires stand-ins, whose responses are predictable.
    pub verify_responses: bool,
}

/// One customer's share of the load.
#[derive(Clone, Debug, PartialEq)]
pub struct CustomerLoad {
    /// The customer's name, as endpoints see it.
    pub name: String,
    /// The customer's API key.
    pub key: String,
    /// Share of the arrivals, relative to the weights of the other customers.
    pub weight: f64,
}

/// A surge of chats from some customers.
#[derive(Clone, Debug, PartialEq)]
pub struct SurgePlan {
    /// Number of customers that surge, counted from the first.
    pub customers: usize,
    /// Start of the surge, counted from the start of the run.
    pub from: Duration,
    /// End of the surge, counted from the start of the run.
    pub until: Duration,
    /// Factor by which their chat rate grows.
    pub factor: f64,
}

impl Default for LoadSettings {
    fn default() -> Self {
        Self {
            nodes: Vec::new(),
            customers: Vec::new(),
            model: "caption".to_owned(),
            service: "studio-desk".to_owned(),
            seed: 1,
            duration: Duration::from_secs(5),
            chats_per_second: 10.0,
            turns: 3,
            think_time: Duration::from_millis(800),
            bookings_per_second: 10.0,
            resend_percent: 20,
            reads_per_second: 10.0,
            stream_percent: 70,
            system_prompt_bytes: 4096,
            message_bytes: 600,
            answer_tokens: 24,
            surge: None,
            deadline: Duration::from_secs(20),
            max_attempts: 4,
            client_threads: 64,
            verify_responses: true,
        }
    }
}
