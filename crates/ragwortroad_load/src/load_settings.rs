use std::time::Duration;

/// What load to make.
#[derive(Clone, Debug, PartialEq)]
pub struct LoadSettings {
    /// `IP:port` of nodes to ask for addresses first.
    pub nodes: Vec<String>,
    /// Who calls.
    pub customers: Vec<CustomerLoad>,
    /// The model to chat with.
    pub model: String,
    /// The plain service to book at and to read from.
    pub service: String,
    /// From which everything random is drawn.
    pub seed: u64,
    /// Time in which requests become due.
    pub duration: Duration,
    /// New chats a second.
    pub chats_per_second: f64,
    /// Turns of each chat.
    pub turns: u32,
    /// Mean pause between a chat's turns.
    pub think_time: Duration,
    /// Bookings a second.
    pub bookings_per_second: f64,
    /// Of a hundred bookings, how many are sent again under the same key, through another node.
    pub resend_percent: u32,
    /// Reads a second.
    pub reads_per_second: f64,
    /// Of a hundred turns, how many are streamed.
    pub stream_percent: u32,
    /// Bytes of the text that all chats of a customer begin with.
    pub system_prompt_bytes: usize,
    /// Bytes of each user message.
    pub message_bytes: usize,
    /// Tokens of each answer.
    pub answer_tokens: u32,
    /// A few customers that send more for a while.
    pub surge: Option<SurgePlan>,
    /// The deadline sent with each request.
    pub deadline: Duration,
    /// Times a caller sends one request at most.
    pub max_attempts: u32,
    /// Callers at work at once.
    pub client_threads: usize,
    /// Whether the answers are those of stand-ins, whose right text is known.
    pub verify_responses: bool,
}

/// One customer's part of the load.
#[derive(Clone, Debug, PartialEq)]
pub struct CustomerLoad {
    /// The customer's name, as it reaches endpoints.
    pub name: String,
    /// Its key.
    pub key: String,
    /// Its share of the arrivals, against the others' weights.
    pub weight: f64,
}

/// A surge of a few customers.
#[derive(Clone, Debug, PartialEq)]
pub struct SurgePlan {
    /// The first so many customers surge.
    pub customers: usize,
    /// Begin, from the start of the run.
    pub from: Duration,
    /// End, from the start of the run.
    pub until: Duration,
    /// By how much their chats multiply.
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
