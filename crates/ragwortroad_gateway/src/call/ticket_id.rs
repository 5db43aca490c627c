/// Identifies an admitted attempt from its grant to its [`FinishCall`](crate::FinishCall).
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TicketId(pub u64);
