use std::sync::Arc;

use bytes::{
    Bytes,
    BytesMut, //
};
use snafu::Snafu;
use tokio::sync::{
    OwnedSemaphorePermit,
    Semaphore, //
};

/// The budget is the process's memory divided by this; the rest is for connections, tables and
/// buffers.
const MEMORY_DIVISOR: usize = 4;

/// The part of the budget that only small bodies may use is the budget divided by this.
const SMALL_BODY_DIVISOR: usize = 4;

/// Largest size of a small body.
const SMALL_BODY_BYTES: usize = 64 << 10;

/// Bytes of request and response bodies that an edge may hold at once.
///
/// Bodies stay in memory while a client uploads, an endpoint reads, or a client downloads them, all
/// as slowly as they like. A process that exceeds its memory is killed, and all of its clients lose
/// their requests. A body is charged as it arrives: if its announced length were reserved, a few
/// clients that send nothing could block all others.
#[derive(Clone, Debug)]
pub(crate) struct ByteBudget {
    free: Arc<Semaphore>,
    /// Bytes in total.
    limit: usize,
    /// Bytes that only small bodies may use.
    reserve: usize,
}

/// The bodies held by the process fill its budget.
#[derive(Clone, Copy, Debug)]
#[derive(Snafu)]
#[snafu(display("the bodies held fill the budget; send the request again later"))]
pub(crate) struct BudgetExhausted;

impl ByteBudget {
    /// Creates the budget of a process that may use `memory` bytes.
    pub(crate) fn for_memory(memory: usize) -> Self {
        let limit = (memory / MEMORY_DIVISOR).min(Semaphore::MAX_PERMITS);
        Self {
            free: Arc::new(Semaphore::new(limit)),
            limit,
            reserve: limit / SMALL_BODY_DIVISOR,
        }
    }

    /// Starts to hold a body.
    pub(crate) fn hold(&self) -> HeldBody {
        HeldBody {
            budget: self.clone(),
            chunks: Vec::new(),
            length: 0,
            permit: None,
        }
    }

    /// Returns the number of bytes in use.
    pub(crate) fn held(&self) -> usize {
        self.limit - self.free.available_permits()
    }
}

/// A body that is being received.
#[derive(Debug)]
pub(crate) struct HeldBody {
    budget: ByteBudget,
    chunks: Vec<Bytes>,
    /// Invariant: the total length of the chunks, and the number of permits.
    length: usize,
    permit: Option<OwnedSemaphorePermit>,
}

impl HeldBody {
    /// Returns the bytes that must become free before a chunk can be added.
    pub(crate) fn missing(&self, chunk_bytes: usize) -> usize {
        let ByteBudget { free, reserve, .. } = &self.budget;
        let is_small = self.length + chunk_bytes <= SMALL_BODY_BYTES;
        let needed = chunk_bytes + if is_small { 0 } else { *reserve };
        needed.saturating_sub(free.available_permits())
    }

    /// Adds a chunk.
    ///
    /// # Errors
    ///
    /// Fails if the budget has no room for it; the body is then to be dropped.
    pub(crate) fn push(&mut self, chunk: Bytes) -> Result<(), BudgetExhausted> {
        if self.missing(chunk.len()) > 0 {
            return Err(BudgetExhausted);
        }
        let count = u32::try_from(chunk.len()).map_err(|_| BudgetExhausted)?;
        let permit = Arc::clone(&self.budget.free).try_acquire_many_owned(count);
        let permit = permit.map_err(|_| BudgetExhausted)?;
        match &mut self.permit {
            Some(held) => held.merge(permit),
            None => self.permit = Some(permit),
        }
        self.length += chunk.len();
        self.chunks.push(chunk);
        Ok(())
    }

    /// Returns the whole body, which is charged until its last copy is dropped.
    pub(crate) fn into_bytes(mut self) -> Bytes {
        let Some(permit) = self.permit.take() else {
            return Bytes::new();
        };
        let bytes = match self.chunks.as_slice() {
            [only] => only.clone(),
            chunks => {
                let mut joined = BytesMut::with_capacity(self.length);
                for chunk in chunks {
                    joined.extend_from_slice(chunk);
                }
                joined.freeze()
            }
        };
        Bytes::from_owner(ChargedBytes {
            bytes,
            _permit: permit,
        })
    }
}

/// A complete body with its share of the budget.
struct ChargedBytes {
    bytes: Bytes,
    _permit: OwnedSemaphorePermit,
}

impl AsRef<[u8]> for ChargedBytes {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}
