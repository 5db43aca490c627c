//! Properties of frames from the network, whatever their content.

use proptest::prelude::*;
use ragwortroad_consensus::prelude::*;
use ragwortroad_types::prelude::*;

fn messages() -> impl Strategy<Value = PeerMessage> {
    let entries = prop::collection::vec(
        (any::<u64>(), prop::collection::vec(any::<u8>(), 0..40))
            .prop_map(|(term, bytes)| WireEntry { term, bytes }),
        0..5,
    );
    let append = (any::<[u64; 5]>(), entries).prop_map(|(n, entries)| PeerMessage::Append {
        term: n[0],
        prev: LogPosition {
            term: n[1],
            index: n[2],
        },
        commit: n[3],
        sent_at: ClockTime(n[4]),
        entries,
    });
    let reply = (any::<[u64; 4]>(), any::<bool>()).prop_map(|(n, fits)| PeerMessage::AppendReply {
        term: n[0],
        sent_at: ClockTime(n[1]),
        outcome: if fits {
            AppendOutcome::Matched(n[2])
        } else {
            AppendOutcome::Conflict {
                prev: n[2],
                hint: n[3],
            }
        },
        starts: vec![MemberStart {
            member: MemberId(n[2]),
            start: n[3],
        }],
    });
    let vote = (any::<[u64; 3]>(), any::<bool>()).prop_map(|(n, handover)| PeerMessage::Vote {
        term: n[0],
        last: LogPosition {
            term: n[1],
            index: n[2],
        },
        handover,
    });
    let chunk =
        (any::<[u64; 6]>(), prop::collection::vec(any::<u8>(), 0..90)).prop_map(|(n, bytes)| {
            PeerMessage::Chunk(SnapshotChunk {
                term: n[0],
                sent_at: ClockTime(n[1]),
                last: LogPosition {
                    term: n[2],
                    index: n[3],
                },
                members: MemberSet::from_voters([(MemberId(n[4]), NodeId(n[5]))]),
                total: n[4],
                offset: n[5],
                bytes,
            })
        });
    let short = prop_oneof![
        Just(PeerMessage::Hello),
        any::<u64>().prop_map(|term| PeerMessage::Handover { term }),
        any::<u64>().prop_map(|known| PeerMessage::StaleStart { known }),
        any::<[u64; 3]>().prop_map(|n| PeerMessage::Heartbeat {
            term: n[0],
            commit: n[1],
            sent_at: ClockTime(n[2]),
        }),
    ];
    prop_oneof![append, reply, vote, chunk, short]
}

/// A member that has bootstrapped a group of three, or a new one that knows of no group.
fn core(is_bootstrapping: bool) -> ConsensusCore {
    let voters = (1..4).map(|at| (MemberId(at), NodeId(at)));
    let stored = ragwortroad_log::StoredState {
        identity: 1,
        start: 1,
        is_new: true,
        ..ragwortroad_log::StoredState::default()
    };
    let start = CoreStart {
        stored,
        initial_members: is_bootstrapping.then(|| MemberSet::from_voters(voters)),
    };
    let created = ConsensusCore::new(CoreSettings::default(), start, ClockTime(1), 1);
    created.expect("the core starts").0
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 400, failure_persistence: None, ..ProptestConfig::default() })]

    /// Guards against frames that change in encoding or misstate their length, and against
    /// truncated frames that are accepted.
    #[test]
    fn frames_round_trip(ends in any::<[u64; 3]>(), message in messages()) {
        let frame = PeerFrame {
            from: MemberId(ends[0]),
            to: MemberId(ends[1]),
            start: ends[2],
            message,
        };
        let bytes = frame.encode().expect("encodes");
        prop_assert_eq!(bytes.len(), frame.encoded_len());
        prop_assert!(PeerFrame::decode(&bytes[..bytes.len() - 1]).is_err());
        prop_assert_eq!(PeerFrame::decode(&bytes).expect("decodes"), frame);
    }

    /// Guards against a decoder that panics on bytes that are no frame, or reads beyond them.
    #[test]
    fn decoding_arbitrary_bytes_does_not_panic(bytes in prop::collection::vec(any::<u8>(), 0..300)) {
        if let Ok(frame) = PeerFrame::decode(&bytes) {
            prop_assert!(frame.encoded_len() <= bytes.len());
        }
    }

    /// Guards against a member that panics on a message that makes no sense.
    #[test]
    fn arbitrary_messages_do_not_panic_the_core(
        is_bootstrapping in any::<bool>(),
        sent in prop::collection::vec((1_u64..5, 0_u64..3, messages()), 1..20),
    ) {
        let mut core = core(is_bootstrapping);
        let mut now = ClockTime(1);
        for (from, start, message) in sent {
            now = ClockTime(now.0 + 100);
            let frame = PeerFrame {
                from: MemberId(from),
                to: MemberId(1),
                start,
                message,
            };
            core.handle(CoreInput::Frame(frame), now);
            core.handle(CoreInput::Tick, now);
        }
    }
}
