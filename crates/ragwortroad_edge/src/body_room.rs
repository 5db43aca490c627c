//! Room for bodies in the memory of an edge.

use bytes::Bytes;
use tokio::task::yield_now;

use crate::{
    byte_budget::{
        BudgetExhausted,
        HeldBody, //
    },
    client_table::ClientKey,
    edge_state::EdgeShared, //
};

/// Number of times that the tasks of disconnected clients may run before a chunk is refused.
const RELEASE_TURNS: usize = 8;

/// Adds a chunk to a body that is sent by `own`, or by an endpoint if that is `None`.
///
/// If there is no room, slow clients are disconnected: their connections may not even exist any
/// more, and others would get no response because of them.
pub(crate) async fn push_chunk(
    shared: &EdgeShared,
    body: &mut HeldBody,
    chunk: Bytes,
    own: Option<ClientKey>,
) -> Result<(), BudgetExhausted> {
    let missing = body.missing(chunk.len());
    if missing > 0 && shared.clients.disconnect_slow(own, missing, shared.now()) {
        for _ in 0..RELEASE_TURNS {
            if body.missing(chunk.len()) == 0 {
                break;
            }
            yield_now().await;
        }
    }
    body.push(chunk)
}
