//! Handles reports of endpoints that leave: goodbyes, and announcements of draining endpoints.
//!
//! A report is acknowledged once as many other registries as may be lost keep it and publish it to
//! their edges, so that it survives their loss.

use std::{
    collections::BTreeSet,
    net::SocketAddr,
    time::Duration, //
};

use ragwortroad_dispatch::prelude::*;
use ragwortroad_link::prelude::*;
use ragwortroad_types::prelude::*;
use tokio::sync::oneshot;

use crate::{
    ControlReply,
    call_flow::send_reply,
    notice_batch::NoticeBatch,
    queued_notice::QueuedNotice,
    registry_event::LinkKey,
    registry_state::RegistryState, //
};

/// Number of other registries that are asked for an acknowledgement beyond those that are needed, so
/// that a frozen one does not delay it.
const SPARE_PUBLISHERS: usize = 1;

/// Time after which a notice is sent to all registries for publication.
const NOTICE_RETRY_TIME: Duration = Duration::from_millis(200);

/// Time after which an endpoint is told to report elsewhere. Its call waits for one second.
const NOTICE_TIMEOUT: Duration = Duration::from_millis(600);

/// Maximum number of notices that wait to be sent. Further ones are refused to bound memory.
const MAX_PENDING_NOTICES: usize = 4096;

/// Maximum number of sent batches that wait for another registry.
const MAX_NOTICE_BATCHES: usize = 256;

impl RegistryState {
    /// Keeps a notice that this registry has applied, and replies once enough other registries have it.
    pub(crate) fn enqueue_notice(
        &mut self,
        change: RegistryChange,
        reply: oneshot::Sender<ControlReply>,
        now: ClockTime,
    ) {
        let notice = QueuedNotice { change, reply };
        if self.needed_keepers(now) == 0 {
            self.finish_notice(notice);
            return;
        }
        let is_full = self.pending_notices.len() >= MAX_PENDING_NOTICES
            || self.notice_batches.len() >= MAX_NOTICE_BATCHES;
        if is_full {
            let reason = "too many endpoints leave here; report at another registry";
            send_reply(notice.reply, ControlReply::Unavailable { reason });
            return;
        }
        self.pending_notices.push(notice);
    }

    /// Number of other registries that must keep a notice: as many as may be lost, and at least one,
    /// as far as there are others.
    fn needed_keepers(&self, now: ClockTime) -> usize {
        let others = self.known_registries(now).len() - 1;
        self.tolerance.disks.max(1).min(others)
    }

    /// Sends the notices received since the last call to the other registries.
    pub(crate) fn send_notices(&mut self, now: ClockTime) {
        if self.pending_notices.is_empty() {
            return;
        }
        let notices = std::mem::take(&mut self.pending_notices);
        let token = self.new_token();
        let publishers = self.needed_keepers(now) + SPARE_PUBLISHERS;
        let changes: Vec<_> = notices.iter().map(|notice| notice.change.clone()).collect();
        let queues = self.peers.values().filter_map(|peer| peer.queue.as_ref());
        let queues: Vec<&LinkQueue> = queues.collect();
        for (index, queue) in queues.iter().enumerate() {
            // Each batch has other publishers, which spreads their work.
            let rank = (index + token as usize) % queues.len();
            queue.send(&LinkMessage::KeepNotices {
                token: (rank < publishers).then_some(token),
                notices: changes.clone(),
            });
        }
        let batch = NoticeBatch {
            notices,
            keepers: BTreeSet::new(),
            sent_at: now,
            is_repeated: false,
        };
        self.notice_batches.insert(token, batch);
    }

    /// Repeats notices that too few registries have acknowledged, and refuses those that are too late.
    pub(crate) fn retry_notices(&mut self, now: ClockTime) {
        let batches = std::mem::take(&mut self.notice_batches);
        for (token, mut batch) in batches {
            let waited = now.since(batch.sent_at);
            if waited >= NOTICE_TIMEOUT {
                let reason = match batch.keepers.is_empty() {
                    true => "no other registry has taken the report in time; send it again",
                    false => "too few registries have taken the report in time; send it again",
                };
                for notice in batch.notices {
                    send_reply(notice.reply, ControlReply::Unavailable { reason });
                }
                continue;
            }
            if waited >= NOTICE_RETRY_TIME && !batch.is_repeated {
                let changes = batch.notices.iter().map(|notice| notice.change.clone());
                self.broadcast_to_peers(&LinkMessage::KeepNotices {
                    token: Some(token),
                    notices: changes.collect(),
                });
                batch.is_repeated = true;
            }
            self.notice_batches.insert(token, batch);
        }
    }

    /// Keeps what endpoints have reported to another registry. A `token` asks for publication and an
    /// acknowledgement.
    ///
    /// A registry that is partitioned from all edges cannot publish, so it does not acknowledge.
    pub(crate) fn keep_notices(
        &mut self,
        link: LinkKey,
        token: Option<u64>,
        notices: Vec<RegistryChange>,
        now: ClockTime,
    ) {
        for notice in notices {
            let change = match notice {
                RegistryChange::Told(record) if record.check().is_err() => {
                    tracing::warn!("another registry sent an invalid record");
                    continue;
                }
                RegistryChange::Goodbye(departure) => self.table.apply_departure(departure, now),
                RegistryChange::Told(record) => {
                    let change = self.table.announce(record.clone(), now);
                    change.unwrap_or(RegistryChange::Told(record))
                }
                other => {
                    tracing::warn!(?other, "ignored an unexpected notice");
                    continue;
                }
            };
            if token.is_some() {
                self.enqueue_update(change);
            }
        }
        let token = token.filter(|_| !self.edges.is_empty());
        if let Some((token, queue)) = token.zip(self.links.get(&link)) {
            queue.send(&LinkMessage::NoticesKept { token });
        }
    }

    /// Records that another registry keeps the notices of a batch, and acknowledges them once enough do.
    pub(crate) fn finish_notices(&mut self, keeper: SocketAddr, token: u64, now: ClockTime) {
        let needed = self.needed_keepers(now);
        let Some(batch) = self.notice_batches.get_mut(&token) else {
            return;
        };
        batch.keepers.insert(keeper);
        if batch.keepers.len() < needed {
            return;
        }
        let batch = self.notice_batches.remove(&token);
        for notice in batch.into_iter().flat_map(|batch| batch.notices) {
            self.finish_notice(notice);
        }
    }

    fn finish_notice(&mut self, notice: QueuedNotice) {
        if let RegistryChange::Told(record) = &notice.change {
            self.table.note_drain_kept(record);
        }
        send_reply(notice.reply, ControlReply::Done);
    }

    /// Sends a newly connected registry the endpoints that are known here to leave.
    pub(crate) fn share_leaving(&self, queue: &LinkQueue, now: ClockTime) {
        let notices: Vec<_> = self.table.leaving(now).collect();
        if !notices.is_empty() {
            queue.send(&LinkMessage::KeepNotices {
                token: None,
                notices,
            });
        }
    }
}
