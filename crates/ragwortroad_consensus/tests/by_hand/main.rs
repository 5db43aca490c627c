//! Failures that need one particular order of messages, scripted message by message.

mod scripted_group;

use std::cell::Cell;

use ragwortroad_consensus::{
    CoreSettings,
    InjectedBug,
    prelude::*, //
};

use scripted_group::{
    ScriptedGroup,
    member_id, //
};

fn settings_with_bug(bug: Option<InjectedBug>) -> CoreSettings {
    CoreSettings {
        injected_bug: bug,
        max_append_bytes: 1,
        ..CoreSettings::default()
    }
}

/// Lets the first member copy its last entry but one to the members from 1 to `last`. Its own last
/// entry is delivered only before that one, when these members must reject it, and dropped once they
/// could append it.
fn copy_old_entry(group: &mut ScriptedGroup, last: usize) {
    let own = group.core(0).last_position();
    let has_old: Vec<Cell<bool>> = (0..=last).map(|_| Cell::new(false)).collect();
    for _ in 0..4 {
        group.now = group.now.after(group.settings.heartbeat_interval * 2);
        group.input(0, CoreInput::Tick);
        group.deliver(|frame, from, to| {
            if from > last || to > last {
                return false;
            }
            let next = match &frame.message {
                PeerMessage::Append { prev, entries, .. } if !entries.is_empty() => prev.index + 1,
                _ => return true,
            };
            let fits = next == own.index && has_old[to].get();
            has_old[to].set(has_old[to].get() || next + 1 == own.index);
            !fits
        });
    }
}

/// An entry of an old term reaches a quorum after a leader without it was elected in between.
/// Returns whether the re-elected first leader applies the entry.
fn commits_entry_of_old_term(bug: Option<InjectedBug>) -> bool {
    let mut group = ScriptedGroup::new(5, settings_with_bug(bug));
    group.propose(0, b"old");
    group.deliver(|_, _, _| false);
    group.run_election(4, &[2, 3, 4]);
    assert!(group.core(4).is_leader());
    group.run_election(0, &[0, 1, 2, 3]);
    assert!(group.core(0).is_leader());
    // The old entry reaches two more members.
    copy_old_entry(&mut group, 2);
    group.members[0].applied == [b"old".to_vec()]
}

/// Guards against a leader that commits an entry of an earlier term as soon as a quorum has it,
/// although a later leader without it can still overwrite it.
#[test]
fn old_term_entries_commit_only_with_an_entry_of_the_current_term() {
    assert!(!commits_entry_of_old_term(None));
    assert!(commits_entry_of_old_term(Some(InjectedBug::CommitOldTerms)));
}

/// A member's acknowledgement arrives after its VM was restored to a state before it. Returns
/// whether the leader commits on it.
fn commits_by_stale_ack(bug: Option<InjectedBug>) -> bool {
    let mut group = ScriptedGroup::new(5, settings_with_bug(bug));
    let image = group.members[1].disk.image();
    group.propose(0, b"late");
    let to_restored = group.intercept(0, 1);
    let to_second = group.intercept(0, 2);
    group.deliver(|_, _, _| false);
    for frame in to_restored {
        group.input(1, CoreInput::Frame(frame));
    }
    let late = group.intercept(1, 0);
    group.stop(1, true);
    group.members[1].disk.roll_back(&image);
    group.start(1);
    group.deliver(|_, from, to| from != 0 && to != 0);
    assert!(group.core(1).is_verified());
    for frame in to_second {
        group.input(2, CoreInput::Frame(frame));
    }
    for frame in late {
        group.input(0, CoreInput::Frame(frame));
    }
    group.deliver(|_, from, to| [0, 2].contains(&from) && [0, 2].contains(&to));
    group.members[0].applied == [b"late".to_vec()]
}

/// Guards against a leader that commits an entry on an acknowledgement which the member gave before
/// its disk was rolled back.
#[test]
fn acks_from_before_a_rollback_do_not_count() {
    assert!(!commits_by_stale_ack(None));
    assert!(commits_by_stale_ack(Some(InjectedBug::CountOldStarts)));
}

/// Steps of the time of day, larger than the number of starts in a test.
const CLOCK_STEP: u64 = 1000;

/// Restarts the machine of the second of three members, with its clock set back since the start before,
/// and returns whether the first can commit a command with it alone.
fn is_heard_after_clock_step(is_rolled_back: bool) -> bool {
    let mut group = ScriptedGroup::new(3, CoreSettings::default());
    let image = group.members[1].disk.image();
    for step in [CLOCK_STEP as i64, -(CLOCK_STEP as i64)] {
        group.wall_clock = group.wall_clock.saturating_add_signed(step);
        group.stop(1, true);
        if is_rolled_back {
            group.members[1].disk.roll_back(&image);
        }
        group.start(1);
        group.deliver(|_, _, _| true);
        group.wait_for_leader(0, 4);
    }
    group.stop(2, false);
    group.propose(0, b"heard");
    for _ in 0..4 {
        group.now = group.now.after(group.settings.heartbeat_interval);
        group.input(0, CoreInput::Tick);
        group.input(1, CoreInput::Tick);
        group.deliver(|_, _, _| true);
    }
    group.members[0].applied == [b"heard".to_vec()]
}

/// Guards against a member that is ignored for as long as it runs since its clock was set back.
#[test]
fn a_member_whose_clock_was_set_back_is_heard() {
    assert!(is_heard_after_clock_step(false));
}

/// Guards against a member that is ignored since only others know the number of its start before.
#[test]
fn a_member_that_forgot_its_last_start_is_heard() {
    assert!(is_heard_after_clock_step(true));
}

/// Guards against members that apply a committed command only with the next heartbeat, because
/// their acknowledgement came after those of the quorum.
#[test]
fn members_outside_the_first_quorum_apply_without_a_heartbeat() {
    let mut group = ScriptedGroup::new(5, CoreSettings::default());
    for _ in 0..3 {
        group.propose(0, b"new");
        group.deliver(|_, _, _| true);
    }
    for (at, member) in group.members.iter().enumerate() {
        assert_eq!(member.applied.len(), 3, "member {at}");
    }
}

/// Guards against a rolled-back disk that is trusted after a process restart within the same boot,
/// although the restart check had not finished.
#[test]
fn a_process_killed_during_the_restart_check_repeats_it() {
    let mut group = ScriptedGroup::new(3, settings_with_bug(None));
    let image = group.members[1].disk.image();
    group.propose(0, b"kept");
    group.deliver(|_, from, to| from < 2 && to < 2);
    assert_eq!(group.members[0].applied, [b"kept".to_vec()]);
    group.stop(1, true);
    group.members[1].disk.roll_back(&image);
    group.start(1);
    group.stop(1, false);
    group.start(1);
    assert!(!group.core(1).is_verified());
    // The first member is down; the other two must not continue without the command.
    group.stop(0, false);
    group.wait_for_leader(2, 4);
    group.wait_for_leader(1, 4);
    assert!(!group.core(1).is_leader() && !group.core(2).is_leader());
    assert_eq!(group.core(1).restart_check_pending(), [member_id(0)]);
    group.start(0);
    group.deliver(|_, _, _| true);
    group.wait_for_leader(1, 4);
    group.wait_for_leader(0, 4);
    assert!(group.core(0).is_leader());
    assert_eq!(group.members[0].applied, [b"kept".to_vec()]);
}

/// Guards against a member that deposes a healthy leader each time it reconnects. The member
/// receives nothing but may send.
#[test]
fn a_partitioned_member_does_not_raise_the_term() {
    let mut group = ScriptedGroup::new(3, settings_with_bug(None));
    let term = group.core(0).term();
    for _ in 0..20 {
        group.now = group.now.after(group.settings.heartbeat_interval);
        group.input(0, CoreInput::Tick);
        group.input(2, CoreInput::Tick);
        group.deliver(|_, _, to| to != 2);
    }
    assert!(group.core(0).may_act_as_leader(group.now));
    assert_eq!((group.core(0).term(), group.core(2).term()), (term, term));
}

/// Guards against clients that wait for the lease of a leader to expire when the leader is stopped
/// in an orderly way.
#[test]
fn leadership_transfer_needs_no_lease_expiry() {
    let mut group = ScriptedGroup::new(3, settings_with_bug(None));
    group.propose(0, b"before");
    group.deliver(|_, _, _| true);
    let asked_at = group.now;
    group.input(0, CoreInput::TransferLeadership);
    assert!(!group.core(0).may_act_as_leader(group.now));
    group.deliver(|_, _, _| true);
    let acting = (1..3).filter(|&at| group.core(at).may_act_as_leader(group.now));
    assert_eq!(acting.count(), 1);
    assert_eq!(group.now, asked_at);
    group.propose(0, b"after");
    assert!(matches!(
        group.members[0].results.last(),
        Some(ProposeResult::NotLeader { leader: Some(_) })
    ));
}

/// Guards against a leader that acts beyond the end of its lease after its process was paused.
#[test]
fn a_paused_leader_loses_its_lease_on_its_own_clock() {
    let mut group = ScriptedGroup::new(3, settings_with_bug(None));
    let until = group.core(0).lease_valid_until().expect("there is a lease");
    let last = until.before(std::time::Duration::from_millis(1));
    assert!(group.core(0).may_act_as_leader(last));
    assert!(!group.core(0).may_act_as_leader(until));
    group.now = until.after(group.settings.election_timeout);
    group.input(0, CoreInput::ReadRequest { token: 9 });
    assert!(!group.core(0).may_act_as_leader(group.now));
    group.input(0, CoreInput::Tick);
    assert!(!group.core(0).is_leader());
}

/// Guards against a second group, bootstrapped by an initial member that lost its disk.
#[test]
fn only_empty_folders_bootstrap_a_group() {
    let hello = |at: usize, is_empty| BootstrapHello {
        node: ragwortroad_types::NodeId(at as u64),
        member: member_id(at),
        is_empty,
    };
    let nodes = || (0..3).map(ragwortroad_types::NodeId);
    let mut table = BootstrapTable::new(hello(0, true), nodes());
    table.record_hello(hello(1, true));
    assert!(matches!(table.decide(), BootstrapDecision::Wait { missing } if missing.len() == 1));
    table.record_hello(hello(2, true));
    assert!(matches!(table.decide(), BootstrapDecision::Bootstrap(set) if set.quorum() == 2));
    table.record_hello(hello(2, false));
    assert_eq!(table.decide(), BootstrapDecision::Join);
    let mut other = BootstrapTable::new(hello(1, true), nodes());
    other.record_hello(hello(0, true));
    other.record_hello(hello(2, true));
    assert_eq!(other.decide(), BootstrapDecision::Follow);
}

/// Guards against a member that stays without entries that were lost with a broken connection.
#[test]
fn reconnecting_resends_unacknowledged_entries() {
    let mut group = ScriptedGroup::new(3, CoreSettings::default());
    group.wait_for_leader(0, 3);
    assert!(group.core(0).is_leader());
    group.propose(0, b"change");
    group.deliver(|_, _, to| to != 2);
    assert_eq!(group.members[0].applied, [b"change".to_vec()]);
    let behind = group.core(2).last_position().index;
    assert!(behind < group.core(0).last_position().index);
    let member = member_id(2);
    group.input(0, CoreInput::PeerConnected { member });
    group.deliver(|_, _, _| true);
    assert_eq!(group.core(2).last_position(), group.core(0).last_position());
    // A member that lacks nothing is sent nothing.
    group.input(0, CoreInput::PeerConnected { member });
    assert!(group.intercept(0, 2).is_empty());
}

fn recall_settings(trust_disk: bool) -> CoreSettings {
    CoreSettings {
        trust_disk,
        recalls_commit: true,
        max_append_bytes: 1,
        ..CoreSettings::default()
    }
}

/// Whether a frame belongs to the exchange of what members have on disk.
fn is_report(frame: &PeerFrame) -> bool {
    matches!(
        frame.message,
        PeerMessage::Hello | PeerMessage::HelloReply { .. }
    )
}

/// Restarts the machines of `among` and exchanges reports between them until no more are sent.
fn exchange_reports(group: &mut ScriptedGroup, among: &[usize]) {
    for &at in among {
        group.stop(at, true);
    }
    for &at in among {
        group.start(at);
    }
    for _ in 0..2 {
        group.now = group.now.after(group.settings.heartbeat_interval);
        for &at in among {
            group.input(at, CoreInput::Tick);
        }
        group.deliver(|frame, from, to| {
            is_report(frame) && among.contains(&from) && among.contains(&to)
        });
    }
}

/// Guards against callers that wait for a leader although a quorum's disks hold all that was accepted.
#[test]
fn a_quorum_recalls_its_log_without_a_leader() {
    let mut group = ScriptedGroup::new(5, recall_settings(true));
    group.propose(0, b"kept");
    group.deliver(|_, _, _| true);
    exchange_reports(&mut group, &[1, 2]);
    assert!(group.members[1].applied.is_empty());
    exchange_reports(&mut group, &[1, 2, 4]);
    for at in [1, 2, 4] {
        assert_eq!(group.core(at).leader(), None);
        assert_eq!(group.members[at].applied, [b"kept".to_vec()], "member {at}");
        assert_eq!(
            group.core(at).recalled_index(),
            Some(group.core(at).last_position().index)
        );
    }
}

/// Guards against a recalled log without a command that a reporting member has, accepted or not.
#[test]
fn a_log_is_not_recalled_while_a_member_reports_a_later_one() {
    let mut group = ScriptedGroup::new(5, recall_settings(true));
    group.propose(0, b"accepted");
    group.deliver(|_, from, to| from < 3 && to < 3);
    assert_eq!(group.members[0].applied, [b"accepted".to_vec()]);
    group.stop(0, true);
    group.stop(1, true);
    exchange_reports(&mut group, &[2, 3, 4]);
    for at in 2..5 {
        assert_eq!(group.core(at).recalled_index(), None, "member {at}");
    }
    exchange_reports(&mut group, &[0, 1, 2, 3, 4]);
    for at in 0..3 {
        assert_eq!(group.members[at].applied, [b"accepted".to_vec()]);
    }
    for at in 3..5 {
        assert_eq!(group.core(at).recalled_index(), None, "member {at}");
    }
}

/// Guards against an empty disk that counts toward the quorum.
#[test]
fn a_lost_disk_proves_nothing() {
    let mut group = ScriptedGroup::new(3, recall_settings(true));
    group.propose(0, b"accepted");
    group.deliver(|_, from, to| from < 2 && to < 2);
    assert_eq!(group.members[0].applied, [b"accepted".to_vec()]);
    group.stop(0, true);
    group.stop(1, true);
    group.members[1].disk.lose();
    exchange_reports(&mut group, &[1, 2]);
    assert_eq!(group.core(1).recalled_index(), None);
    assert_eq!(group.core(2).recalled_index(), None);
}

/// Guards against an old log recalled from restored disks and a member without the accepted command.
#[test]
fn a_minority_of_old_disks_does_not_bring_back_an_old_log() {
    let mut group = ScriptedGroup::new(5, recall_settings(false));
    let images = [1, 2].map(|at| group.members[at].disk.image());
    group.propose(0, b"accepted");
    group.deliver(|_, from, to| from < 3 && to < 3);
    assert_eq!(group.members[0].applied, [b"accepted".to_vec()]);
    for at in 0..5 {
        group.stop(at, true);
    }
    for (at, image) in [1, 2].into_iter().zip(&images) {
        group.members[at].disk.roll_back(image);
    }
    exchange_reports(&mut group, &[1, 2, 3, 4]);
    for at in 1..5 {
        assert_eq!(group.core(at).recalled_index(), None, "member {at}");
    }
    exchange_reports(&mut group, &[0, 1, 2, 3, 4]);
    for at in 0..5 {
        assert_eq!(group.core(at).recalled_index(), None, "member {at}");
    }
}

/// An entry of an old term reaches a quorum, of which one member has since voted in a later term.
/// Returns whether it is recalled, although the leader of that term can still overwrite it.
fn recalls_entry_of_old_term(bug: Option<InjectedBug>) -> bool {
    let settings = CoreSettings {
        injected_bug: bug,
        ..recall_settings(true)
    };
    let mut group = ScriptedGroup::new(5, settings);
    group.propose(0, b"old");
    group.deliver(|_, _, _| false);
    group.run_election(4, &[2, 3, 4]);
    assert!(group.core(4).is_leader());
    group.run_election(0, &[0, 1, 2, 3]);
    assert!(group.core(0).is_leader());
    let old = group.core(0).last_position().index - 1;
    copy_old_entry(&mut group, 3);
    for at in 1..4 {
        assert_eq!(group.core(at).last_position().index, old);
    }
    group.stop(0, true);
    exchange_reports(&mut group, &[1, 2, 3]);
    group.members[1].applied.contains(&b"old".to_vec())
}

/// Guards against a recalled entry of an earlier term that a later leader can still overwrite.
#[test]
fn an_entry_of_an_old_term_is_not_recalled() {
    assert!(!recalls_entry_of_old_term(None));
    assert!(recalls_entry_of_old_term(Some(InjectedBug::RecallOldTerms)));
}

/// Guards against a switch that does not restore the messages of a restart.
#[test]
fn without_recall_a_restarted_member_asks_nobody() {
    let settings = CoreSettings {
        recalls_commit: false,
        ..recall_settings(true)
    };
    let mut group = ScriptedGroup::new(3, settings);
    group.propose(0, b"kept");
    group.deliver(|_, _, _| true);
    for at in 0..3 {
        group.stop(at, true);
    }
    for at in 0..3 {
        group.start(at);
        let member = member_id((at + 1) % 3);
        group.input(at, CoreInput::PeerConnected { member });
    }
    let sent = (0..9).flat_map(|pair| group.intercept(pair / 3, pair % 3));
    assert_eq!(sent.filter(is_report).count(), 0);
    assert!(group.members.iter().all(|member| member.applied.is_empty()));
}

/// Guards against elections lost because a candidate has asked anew before the last votes arrive.
#[test]
fn votes_that_arrive_after_the_next_pre_vote_still_elect() {
    let mut group = ScriptedGroup::new(5, recall_settings(true));
    group.stop(0, false);
    for voter in 2..5 {
        group.members[voter].holds_writes = true;
    }
    group.now = group.now.after(group.settings.election_timeout * 2);
    group.input(1, CoreInput::Tick);
    group.deliver(|_, _, _| true);
    let term = group.core(1).term();
    group.now = group.now.after(group.settings.election_timeout * 20);
    group.input(1, CoreInput::Tick);
    group.deliver(|_, _, _| false);
    for voter in 2..4 {
        group.finish_writes(voter);
    }
    group.deliver(|_, _, _| true);
    assert!(group.core(1).is_leader());
    assert_eq!(group.core(1).term(), term);
}

/// Whether the second member says that it would elect `candidate`, which has not asked before.
fn would_elect(group: &mut ScriptedGroup, candidate: usize) -> bool {
    let is_granted = Cell::new(false);
    let has_asked = Cell::new(false);
    group.input(candidate, CoreInput::Tick);
    group.deliver(|frame, from, to| {
        if let PeerMessage::PreVoteReply { granted, .. } = frame.message {
            is_granted.set(granted && from == 1);
        }
        has_asked.set(has_asked.get() || from == candidate);
        from == candidate && to == 1
    });
    assert!(has_asked.get());
    is_granted.get()
}

/// Guards against members that support another candidate while their vote for the first is synced.
#[test]
fn a_member_whose_vote_is_not_durable_takes_part_in_no_other_election() {
    let mut group = ScriptedGroup::new(9, recall_settings(true));
    group.stop(0, false);
    group.members[1].holds_writes = true;
    group.run_election(2, &[1, 2, 3, 4, 5]);
    assert_eq!(group.core(1).term(), group.core(2).term());
    let long = group.settings.election_timeout * 10;
    group.now = group.now.after(long);
    assert!(!would_elect(&mut group, 4));
    group.input(1, CoreInput::Tick);
    let asked = (0..9).flat_map(|to| group.intercept(1, to));
    assert_eq!(asked.count(), 0);
    group.finish_writes(1);
    assert!(!would_elect(&mut group, 5), "it waits for the other votes");
    group.now = group.now.after(long);
    assert!(would_elect(&mut group, 3));
}

fn is_committed(result: &ProposeResult) -> bool {
    matches!(result, ProposeResult::Committed { .. })
}

/// Guards against a second leadership in a term, by votes that were sent to an earlier start.
#[test]
fn votes_for_an_earlier_start_do_not_elect_again_in_their_term() {
    let settings = CoreSettings {
        uses_leader_lease: false,
        ..recall_settings(true)
    };
    let mut group = ScriptedGroup::new_unchecked(3, settings);
    group.stop(0, false);
    group.start(0);
    group.deliver(|_, _, _| false);
    group.now = group.now.after(group.settings.election_timeout * 2);
    group.input(1, CoreInput::Tick);
    let votes = std::cell::RefCell::new(Vec::new());
    group.deliver(|frame, from, to| {
        let is_vote = matches!(frame.message, PeerMessage::VoteReply { granted: true, .. });
        if is_vote && to == 1 {
            votes.borrow_mut().push(frame.clone());
        }
        !is_vote && (from == 1 || to == 1)
    });
    let votes = votes.into_inner();
    assert_eq!(votes.len(), 2, "both others voted");
    let term = group.core(1).term();
    // The disk of the candidate stalls after its vote; those of the others work.
    group.members[1].loses_writes = true;
    for vote in votes.clone() {
        group.input(1, CoreInput::Frame(vote));
    }
    assert!(group.core(1).is_leader());
    group.deliver(|_, _, _| true);
    group.propose(1, b"first");
    group.deliver(|_, _, _| true);
    group.deliver(|_, _, _| true);
    assert!(group.members[1].results.iter().any(is_committed));
    // It starts again, and copies of the votes arrive.
    group.stop(1, false);
    group.members[1].loses_writes = false;
    group.members[1].results.clear();
    group.start(1);
    group.deliver(|_, _, _| false);
    assert_eq!(group.core(1).term(), term);
    group.now = group.now.after(group.settings.election_timeout);
    group.input(1, CoreInput::Tick);
    group.deliver(|_, _, _| false);
    for vote in votes {
        group.input(1, CoreInput::Frame(vote));
    }
    let leads_again = group.core(1).is_leader() && group.core(1).term() == term;
    group.propose(1, b"other");
    group.deliver(|_, _, _| true);
    group.deliver(|_, _, _| true);
    let acknowledged = group.members[1].results.iter().any(is_committed);
    let text = |bytes: &Vec<u8>| String::from_utf8_lossy(bytes).into_owned();
    let applied: Vec<Vec<String>> = (group.members.iter())
        .map(|member| member.applied.iter().map(text).collect())
        .collect();
    assert!(
        !leads_again,
        "leads term {term} again; second acknowledged: {acknowledged}; applied {applied:?}"
    );
}
