//! Operators' lines: passed on to the leader, checked, carried out, answered.

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
            reply_to, //
        },
        line_table::OpenLine, //
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

/// How long the leader's answer to a passed-on line is waited for; longer than the leader itself
/// waits for a change to be in force.
const LINE_PATIENCE: Duration = Duration::from_secs(20);

/// Time after which an unanswered line is sent again.
const LINE_REPEAT: Duration = Duration::from_secs(2);

/// Name of the operator whose key stands in the settings, until operators are declared.
const FIRST_OPERATOR: &str = "first-operator";

impl ControlState {
    /// Serves an operator's connection at this node.
    pub(crate) fn operator(
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
        let leads = self.member.as_ref().is_some_and(|seat| seat.leads(now));
        if leads {
            return self.serve_line(line, LineOrigin::Here(reply), now);
        }
        let Some(leader) = self.leader().filter(|leader| *leader != self.node) else {
            return self.serve_without_leader(line, reply);
        };
        let open = OpenLine {
            reply,
            leader,
            line: line.clone(),
            since: now,
            sent: now,
        };
        let token = self.lines.add(open);
        let message = FollowMessage::Line { token, line };
        self.send(leader, PeerChannel::Follow, encode(&message));
    }

    /// Takes a line that another node passed on.
    pub(crate) fn take_line(
        &mut self,
        from: NodeId,
        token: u64,
        line: OperatorLine,
        now: ClockTime,
    ) {
        let origin = LineOrigin::Node { node: from, token };
        if self.member.as_ref().is_some_and(|seat| seat.leads(now)) {
            return self.serve_line(line, origin, now);
        }
        let text = "not made: the lead is changing; send the line again";
        self.answer_line(origin, 503, text, json!({ "outcome": "not_run" }));
    }

    /// The leader answered a line of this node.
    pub(crate) fn line_done(&mut self, from: NodeId, token: u64, status: u16, body: String) {
        if let Some(open) = self.lines.take(token, from) {
            reply_to(&open.reply, OperatorResponse { status, body });
        }
    }

    /// Sends lines again whose answer is late, and answers those whose leader never does.
    pub(crate) fn tick_lines(&mut self, now: ClockTime) {
        if let Some(leader) = self.leader().filter(|leader| *leader != self.node) {
            let limit = now.before(LINE_REPEAT);
            for (token, line) in self.lines.repeat(limit, leader, now) {
                let message = FollowMessage::Line { token, line };
                self.send(leader, PeerChannel::Follow, encode(&message));
            }
        }
        for open in self.lines.overdue(now.before(LINE_PATIENCE)) {
            let text = match open.line.may_change {
                true => "not known: the leader did not answer; send it again with the same id",
                false => "the leader did not answer; ask again",
            };
            let facts = json!({ "outcome": "unknown" });
            reply_to(&open.reply, line_answer(504, text, facts));
        }
    }

    /// Answers an operator, wherever the line came in.
    pub(crate) fn answer_line(&self, origin: LineOrigin, status: u16, text: &str, facts: Value) {
        let answer = line_answer(status, text, facts);
        match origin {
            LineOrigin::Here(reply) => reply_to(&reply, answer),
            LineOrigin::Node { node, token } => {
                let message = FollowMessage::LineDone {
                    token,
                    status: answer.status,
                    body: answer.body,
                };
                self.send(node, PeerChannel::Follow, encode(&message));
            }
        }
    }

    /// Tells an operator why a change was refused.
    pub(crate) fn answer_refused(&self, origin: LineOrigin, outcome: &ChangeOutcome) {
        let text = outcome_text(outcome);
        let facts = serde_json::to_value(outcome).unwrap_or(Value::Null);
        self.answer_line(origin, 409, &text, json!({ "refused": facts }));
    }

    /// Without a leader nothing can be changed, and only what this node itself knows can be told.
    fn serve_without_leader(&mut self, line: OperatorLine, reply: Sender<OperatorResponse>) {
        let origin = LineOrigin::Here(reply);
        if self
            .operator_name(&line.key_hash, &self.follow.config)
            .is_none()
        {
            if self.follow.confirmed == ClockTime::ZERO {
                let text = "this node has no configuration yet; ask another node";
                return self.answer_line(origin, 503, text, json!({ "outcome": "not_run" }));
            }
            return self.refuse_key(origin);
        }
        match parse_line(&line.line) {
            Ok(Statement::Show(query)) => {
                let state = FleetState::default();
                self.answer_show(origin, &query, &state, "no leader is known; ");
            }
            Ok(Statement::Help) => self.answer_line(origin, 200, HELP_TEXT, json!({})),
            Ok(Statement::Change(_)) => {
                let text = "not made: no leader is known; look at 'show members', then try again";
                self.answer_line(origin, 503, text, json!({ "outcome": "not_run" }));
            }
            Err(error) => self.refuse_line(origin, &error),
        }
    }

    /// Carries out a line, as the leader.
    fn serve_line(&mut self, line: OperatorLine, origin: LineOrigin, now: ClockTime) {
        let Some(seat) = &self.member else {
            return;
        };
        let Some(operator) = self.operator_name(&line.key_hash, seat.state.config()) else {
            return self.refuse_key(origin);
        };
        match parse_line(&line.line) {
            Ok(Statement::Show(query)) => self.answer_show(origin, &query, &seat.state, ""),
            Ok(Statement::Help) => self.answer_line(origin, 200, HELP_TEXT, json!({})),
            Ok(Statement::Change(change)) => {
                self.serve_change(change, &line, &operator, origin, now);
            }
            Err(error) => self.refuse_line(origin, &error),
        }
    }

    fn serve_change(
        &mut self,
        change: ChangeStatement,
        line: &OperatorLine,
        operator: &str,
        origin: LineOrigin,
        now: ClockTime,
    ) {
        let Some(change_id) = line.change_id.as_deref().filter(|_| line.may_change) else {
            let text = "refused: this is a change; send it with 'ragwortroad change'";
            return self.answer_line(origin, 400, text, json!({ "outcome": "not_run" }));
        };
        let base = self.base_of(change_id);
        let command = change.into_command(change_id, operator, base);
        self.propose_change(command, origin, now);
    }

    /// The revision that a change rests on whose line names none.
    ///
    /// A resend rests on the revision that the first sending rested on, or it would look like
    /// another change under the same id and be refused, also where the first was refused.
    fn base_of(&self, change_id: &str) -> u64 {
        let Some(seat) = &self.member else {
            return 0;
        };
        let first = seat.state.changes().base_of(change_id);
        first.unwrap_or(seat.state.config().revision)
    }

    /// The operator that a key belongs to.
    pub(crate) fn operator_name(&self, key: &[u8; 32], config: &FleetConfig) -> Option<String> {
        if config.operators.is_empty() {
            let is_first = same_hash(key, &self.secrets.operator);
            return is_first.then(|| FIRST_OPERATOR.to_owned());
        }
        config.operator_of(&KeyHash(*key)).map(str::to_owned)
    }

    fn refuse_key(&self, origin: LineOrigin) {
        let text = "refused: no operator has this key";
        self.answer_line(origin, 401, text, json!({ "outcome": "not_run" }));
    }

    fn refuse_line(&self, origin: LineOrigin, error: &LanguageError) {
        let facts = json!({ "outcome": "not_run", "column": error.column });
        self.answer_line(origin, 400, &error.to_string(), facts);
    }
}

/// An answer with a text for a person and facts for a program.
fn line_answer(status: u16, text: &str, facts: Value) -> OperatorResponse {
    let mut body = json!({ "text": text });
    if let (Some(body), Value::Object(facts)) = (body.as_object_mut(), facts) {
        body.extend(facts);
    }
    OperatorResponse {
        status,
        body: body.to_string(),
    }
}
