use std::collections::{
    BTreeMap,
    BTreeSet, //
};

use ragwortroad_types::prelude::*;

use crate::{
    EngineObservation,
    EngineOrder,
    EngineTarget,
    LoadQueue,
    OrderAction,
    OrderId,
    OrderKey,
    OrderSettings,
    order::managed_engine::ManagedEngine, //
};

/// The lease holder's pending orders, which reconcile the engines' observed state with their
/// targets.
///
/// An order is complete only when its effect is observed. Engines do not announce their role or
/// drain, so those orders are complete when the engine's current incarnation acknowledged them. An
/// acknowledgement of an order that is no longer pending has no effect.
#[derive(Clone, Debug)]
pub struct OrderTable {
    settings: OrderSettings,
    fence: FencingToken,
    next_number: u64,
    engines: BTreeMap<String, ManagedEngine>,
    pending: BTreeMap<OrderId, PendingOrder>,
    queue: LoadQueue,
}

#[derive(Clone, Debug)]
struct PendingOrder {
    order: EngineOrder,
    first_sent: ClockTime,
    last_sent: ClockTime,
}

impl OrderTable {
    /// Creates an empty table for the holder with fencing token `fence`.
    pub fn new(settings: OrderSettings, fence: FencingToken, now: ClockTime) -> Self {
        Self {
            settings,
            fence,
            next_number: 0,
            engines: BTreeMap::new(),
            pending: BTreeMap::new(),
            queue: LoadQueue::new(settings.rate, now),
        }
    }

    /// Sets an engine's target and urgency; a higher urgency is served first.
    pub fn set_target(&mut self, engine: &str, target: EngineTarget, urgency: u32) {
        let managed = self.engines.entry(engine.to_owned()).or_default();
        managed.target = target;
        managed.urgency = urgency;
    }

    /// Records a new observation of an engine.
    pub fn observe(&mut self, engine: &str, observation: EngineObservation) {
        let managed = self.engines.entry(engine.to_owned()).or_default();
        managed.observe(observation);
    }

    /// Marks that a former holder may have drained the engine, which announcements don't show. The
    /// drain state is then ordered once more. Otherwise an engine whose drain was ended during a
    /// leader change would never accept work again.
    pub fn mark_drain_unknown(&mut self, engine: &str) {
        let managed = self.engines.entry(engine.to_owned()).or_default();
        managed.drain_unknown = true;
    }

    /// Removes an engine that left the fleet.
    pub fn remove_engine(&mut self, engine: &str) {
        self.engines.remove(engine);
    }

    /// Records that the engine acknowledged an order. Returns false if the order is not
    /// pending or its engine was removed.
    pub fn acknowledge(&mut self, id: OrderId) -> bool {
        let Some(pending) = self.pending.get(&id) else {
            return false;
        };
        let Some(managed) = self.engines.get_mut(&pending.order.engine) else {
            return false;
        };
        match pending.order.action {
            OrderAction::SetRole { role } => managed.role = role,
            OrderAction::SetDrain { drain } => {
                managed.drain = drain;
                managed.drain_unknown = false;
            }
            OrderAction::Load { .. } | OrderAction::Unload { .. } => {}
        }
        true
    }

    /// Returns the orders to send now: new ones, and those to send again.
    ///
    /// `may_order` tells for an engine whether the [`OrderGate`](crate::OrderGate) is open;
    /// `size_of` returns a model's size in megabytes.
    pub fn due_orders(
        &mut self,
        now: ClockTime,
        mut may_order: impl FnMut(&str) -> bool,
        size_of: impl Fn(&str) -> u32,
    ) -> Vec<EngineOrder> {
        let wanted = self.required_orders();
        self.prune_pending(&wanted, now);
        let under_way = self.pending_keys();
        let mut starts = Vec::new();
        for key in wanted {
            if under_way.contains(&key) {
                continue;
            }
            match &key.action {
                OrderAction::Load { model, .. } => {
                    let urgency = self
                        .engines
                        .get(&key.engine)
                        .map_or(0, |managed| managed.urgency);
                    let size = size_of(model);
                    self.queue.enqueue(key, size, urgency);
                }
                _ if may_order(&key.engine) => starts.push(key),
                _ => {}
            }
        }
        let resent = self.resend(now, &mut may_order);
        while let Some(key) = self.queue.start_next(now, |key| may_order(&key.engine)) {
            starts.push(key);
        }
        let mut orders: Vec<EngineOrder> = starts
            .into_iter()
            .map(|key| self.start_order(key, now))
            .collect();
        orders.extend(resent);
        orders
    }

    /// The pending orders.
    pub fn pending(&self) -> impl Iterator<Item = &EngineOrder> {
        self.pending.values().map(|pending| &pending.order)
    }

    /// The number of loads that wait for the weight store.
    pub fn waiting_loads(&self) -> usize {
        self.queue.waiting()
    }

    fn start_order(&mut self, key: OrderKey, now: ClockTime) -> EngineOrder {
        self.next_number += 1;
        let id = OrderId {
            fence: self.fence,
            number: self.next_number,
        };
        let OrderKey { engine, action } = key;
        let order = EngineOrder { id, engine, action };
        let pending = PendingOrder {
            order: order.clone(),
            first_sent: now,
            last_sent: now,
        };
        self.pending.insert(id, pending);
        order
    }

    /// The keys of the pending orders.
    fn pending_keys(&self) -> BTreeSet<OrderKey> {
        let orders = self.pending.values().map(|pending| &pending.order);
        orders.map(OrderKey::from).collect()
    }

    /// Everything in which an engine differs from its target.
    fn required_orders(&self) -> BTreeSet<OrderKey> {
        let mut wanted = BTreeSet::new();
        for (name, managed) in &self.engines {
            let actions = managed.required_actions().into_iter();
            let engine = || name.clone();
            wanted.extend(actions.map(|action| OrderKey {
                engine: engine(),
                action,
            }));
        }
        wanted
    }

    /// Removes orders whose effect was observed or is no longer needed, and loads that timed out.
    fn prune_pending(&mut self, wanted: &BTreeSet<OrderKey>, now: ClockTime) {
        let load_bound = self.settings.load_timeout;
        let queue = &mut self.queue;
        self.pending.retain(|_, pending| {
            let key = OrderKey::from(&pending.order);
            let is_load = matches!(key.action, OrderAction::Load { .. });
            let late = is_load && now.since(pending.first_sent) > load_bound;
            let keep = wanted.contains(&key) && !late;
            if !keep {
                queue.remove(&key);
            }
            keep
        });
        self.queue.retain_waiting(|key| wanted.contains(key));
    }

    fn resend(
        &mut self,
        now: ClockTime,
        may_order: &mut impl FnMut(&str) -> bool,
    ) -> Vec<EngineOrder> {
        let resend_after = self.settings.resend_after;
        let mut resent = Vec::new();
        for pending in self.pending.values_mut() {
            let due = now.since(pending.last_sent) >= resend_after;
            if due && may_order(&pending.order.engine) {
                pending.last_sent = now;
                resent.push(pending.order.clone());
            }
        }
        resent
    }
}
