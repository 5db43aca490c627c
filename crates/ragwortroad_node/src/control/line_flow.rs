//! Operators' lines: forwarded to the leader, parsed, executed, and responded to.

use std::time::Duration;

use flume::Sender;
use ragwortroad_gateway::prelude::*;
use ragwortroad_language::prelude::*;
use ragwortroad_state::prelude::*;
use ragwortroad_transport::prelude::*;
use ragwortroad_types::prelude::*;
use serde_json::{
    Value,
    json, //
};

use crate::{
    control::{
        control_state::{
            ControlState,
            send_reply, //
        },
        line_table::PendingLine, //
    },
    member::proposal_kind::LineOrigin,
    node_secrets::same_hash,
    wire::{
        follow_message::{
            FollowMessage,
            OperatorLine, //
        },
        message_codec::encode, //
    }, //
};

/// How long to wait for the leader's response to a forwarded line; longer than the leader itself
/// waits for a change to be in force.
const LINE_TIMEOUT: Duration = Duration::from_secs(20);

/// Time after which a line without a response is resent.
const LINE_RESEND_INTERVAL: Duration = Duration::from_secs(2);

/// Name of the operator whose key is in the settings, used until operators are declared.
const FIRST_OPERATOR: &str = "first-operator";

impl ControlState {
    /// Handles a line from an operator connected to this node.
    pub(crate) fn handle_operator(
        &mut self,
        call: OperatorCall,
        reply: Sender<OperatorResponse>,
        now: ClockTime,
    ) {
        let line = OperatorLine {
            key_hash: call.key_hash,
            line: call.line,
            may_change: call.may_change,
            change_id: call.change_id,
        };
        let leads = self
            .replica
            .as_ref()
            .is_some_and(|replica| replica.leads(now));
        if leads {
            return self.execute_line(line, LineOrigin::Local(reply), now);
        }
        let Some(leader) = self.leader().filter(|leader| *leader != self.node) else {
            return self.respond_without_leader(line, reply);
        };
        let pending = PendingLine {
            reply,
            leader,
            line: line.clone(),
            received: now,
            last_sent: now,
        };
        let token = self.lines.add(pending);
        let message = FollowMessage::Line { token, line };
        self.send(leader, PeerChannel::Follow, encode(&message));
    }

    /// Handles a line that another node forwarded.
    pub(crate) fn handle_line(
        &mut self,
        from: NodeId,
        token: u64,
        line: OperatorLine,
        now: ClockTime,
    ) {
        let origin = LineOrigin::Node { node: from, token };
        if self
            .replica
            .as_ref()
            .is_some_and(|replica| replica.leads(now))
        {
            return self.execute_line(line, origin, now);
        }
        let text = "not made: the lead is changing; send the line again";
        self.respond_to_line(origin, 503, text, json!({ "outcome": "not_run" }));
    }

    /// Passes the leader's response on to the operator.
    pub(crate) fn handle_line_done(&mut self, from: NodeId, token: u64, status: u16, body: String) {
        if let Some(pending) = self.lines.take(token, from) {
            send_reply(&pending.reply, OperatorResponse { status, body });
        }
    }

    /// Resends lines without a response, and responds to those that have timed out.
    pub(crate) fn tick_lines(&mut self, now: ClockTime) {
        if let Some(leader) = self.leader().filter(|leader| *leader != self.node) {
            let limit = now.before(LINE_RESEND_INTERVAL);
            for (token, line) in self.lines.take_resends(limit, leader, now) {
                let message = FollowMessage::Line { token, line };
                self.send(leader, PeerChannel::Follow, encode(&message));
            }
        }
        for pending in self.lines.take_overdue(now.before(LINE_TIMEOUT)) {
            let text = match pending.line.may_change {
                true => "not known: the leader did not answer; send it again with the same id",
                false => "the leader did not answer; ask again",
            };
            let facts = json!({ "outcome": "unknown" });
            send_reply(&pending.reply, operator_response(504, text, facts));
        }
    }

    /// Responds to an operator, directly or through the node that forwarded the line.
    pub(crate) fn respond_to_line(
        &self,
        origin: LineOrigin,
        status: u16,
        text: &str,
        facts: Value,
    ) {
        let response = operator_response(status, text, facts);
        match origin {
            LineOrigin::Local(reply) => send_reply(&reply, response),
            LineOrigin::Node { node, token } => {
                let message = FollowMessage::LineDone {
                    token,
                    status: response.status,
                    body: response.body,
                };
                self.send(node, PeerChannel::Follow, encode(&message));
            }
        }
    }

    /// Tells an operator why a change was refused.
    pub(crate) fn respond_refused(&self, origin: LineOrigin, outcome: &ChangeOutcome) {
        let text = outcome_text(outcome);
        let facts = serde_json::to_value(outcome).unwrap_or(Value::Null);
        self.respond_to_line(origin, 409, &text, json!({ "refused": facts }));
    }

    /// Serves a line while no leader is known: no change is possible, and responses hold only what
    /// this node knows.
    fn respond_without_leader(&mut self, line: OperatorLine, reply: Sender<OperatorResponse>) {
        let origin = LineOrigin::Local(reply);
        if self
            .operator_name(&line.key_hash, &self.follower.config)
            .is_none()
        {
            if self.follower.last_confirmed == ClockTime::ZERO {
                let text = "this node has no configuration yet; ask another node";
                return self.respond_to_line(origin, 503, text, json!({ "outcome": "not_run" }));
            }
            return self.refuse_unknown_key(origin);
        }
        match parse_line(&line.line) {
            Ok(Statement::Show(query)) => {
                let state = FleetState::default();
                self.respond_to_show(origin, &query, &state, "no leader is known; ");
            }
            Ok(Statement::Help) => self.respond_to_line(origin, 200, HELP_TEXT, json!({})),
            Ok(Statement::Change(_)) => {
                let text = "not made: no leader is known; look at 'show members', then try again";
                self.respond_to_line(origin, 503, text, json!({ "outcome": "not_run" }));
            }
            Err(error) => self.refuse_invalid_line(origin, &error),
        }
    }

    /// Executes a line on the leader.
    fn execute_line(&mut self, line: OperatorLine, origin: LineOrigin, now: ClockTime) {
        let Some(replica) = &self.replica else {
            return;
        };
        let Some(operator) = self.operator_name(&line.key_hash, replica.state.config()) else {
            return self.refuse_unknown_key(origin);
        };
        match parse_line(&line.line) {
            Ok(Statement::Show(query)) => self.respond_to_show(origin, &query, &replica.state, ""),
            Ok(Statement::Help) => self.respond_to_line(origin, 200, HELP_TEXT, json!({})),
            Ok(Statement::Change(change)) => {
                self.execute_change(change, &line, &operator, origin, now);
            }
            Err(error) => self.refuse_invalid_line(origin, &error),
        }
    }

    fn execute_change(
        &mut self,
        change: ChangeStatement,
        line: &OperatorLine,
        operator: &str,
        origin: LineOrigin,
        now: ClockTime,
    ) {
        let Some(change_id) = line.change_id.as_deref().filter(|_| line.may_change) else {
            let text = "refused: this is a change; send it with 'ragwortroad change'";
            return self.respond_to_line(origin, 400, text, json!({ "outcome": "not_run" }));
        };
        let base = self.base_revision(change_id);
        let command = change.into_command(change_id, operator, base);
        self.propose_change(command, origin, now);
    }

    /// Returns the base revision for a change whose line names none.
    ///
    /// A resent change uses the base revision of its first transmission. With another one it would
    /// look like a different change under the same id and be refused, even if the first was
    /// refused.
    fn base_revision(&self, change_id: &str) -> u64 {
        let Some(replica) = &self.replica else {
            return 0;
        };
        let first = replica.state.changes().base_revision_of(change_id);
        first.unwrap_or(replica.state.config().revision)
    }

    /// Returns the name of the operator that a key belongs to.
    pub(crate) fn operator_name(&self, key: &[u8; 32], config: &FleetConfig) -> Option<String> {
        if config.operators.is_empty() {
            let is_first = same_hash(key, &self.secrets.operator);
            return is_first.then(|| FIRST_OPERATOR.to_owned());
        }
        config.operator_of(&KeyHash(*key)).map(str::to_owned)
    }

    fn refuse_unknown_key(&self, origin: LineOrigin) {
        let text = "refused: no operator has this key";
        self.respond_to_line(origin, 401, text, json!({ "outcome": "not_run" }));
    }

    fn refuse_invalid_line(&self, origin: LineOrigin, error: &LanguageError) {
        let facts = json!({ "outcome": "not_run", "column": error.column });
        self.respond_to_line(origin, 400, &error.to_string(), facts);
    }
}

/// Builds a response with a text for people and fields for programs.
fn operator_response(status: u16, text: &str, facts: Value) -> OperatorResponse {
    let mut body = json!({ "text": text });
    if let (Some(body), Value::Object(facts)) = (body.as_object_mut(), facts) {
        body.extend(facts);
    }
    OperatorResponse {
        status,
        body: body.to_string(),
    }
}
