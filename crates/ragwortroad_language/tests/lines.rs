//! Lines of the language: edits that round-trip, errors that point at the word, and tables.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use proptest::prelude::*;

use ragwortroad_language::prelude::*;
use ragwortroad_state::prelude::*;

fn edits_of(line: &str) -> Vec<ConfigEdit> {
    match parse_line(line) {
        Ok(Statement::Change(change)) => change.edits,
        other => panic!("{line}: {other:?}"),
    }
}

/// One line of each kind, as shown in the help text.
const LINES: [&str; 38] = [
    "add customer north rate 20/s tokens 40000/s",
    "remove customer north",
    "set customer north concurrent 30 weight 200 priority 7",
    "add key north 2bb80d537b1da3e38bd30361aa855686bde0eacd7162fef6a25fe97bf527a25b",
    "remove key north 2BB80D537B1DA3E38BD30361AA855686BDE0EACD7162FEF6A25FE97BF527A25B",
    "forget keys north",
    "allow customer north model captions",
    "allow customer north model captions adapter winter version v2",
    "deny customer north model captions adapter winter",
    "allow customer north service studio-desk",
    "deny customer north service studio-desk",
    "add model captions version v1 replicas 2..6 wanted 3 size 16gb",
    "add model captions version v1",
    "remove model captions",
    "set model captions replicas 2..6",
    "add adapter winter model captions",
    "remove adapter winter model captions",
    "roll model captions to v2 25%",
    "rollback model captions",
    "add service studio-desk idempotent GET /slots/* once GET /book",
    "remove service studio-desk",
    "set service studio-desk by-method PUT /slots/**",
    "drain endpoint caption-3",
    "undrain endpoint \"odd name\"",
    "drain node rvk-a-1",
    "undrain node rvk-a-1",
    "drain domain rvk-a",
    "undrain domain rvk-a",
    "set multiple 1.25",
    "add member rvk-a-1 10.0.0.1:7000",
    "remove member rvk-a-1",
    "add operator asta 2bb80d537b1da3e38bd30361aa855686bde0eacd7162fef6a25fe97bf527a25b",
    "remove operator asta 2bb80d537b1da3e38bd30361aa855686bde0eacd7162fef6a25fe97bf527a25b",
    "set quorum-loss refuse",
    "set quorum-loss go-on 30s",
    "set claims window 24h keys 20000 answer 4096 budget 1048576",
    "set claims spent 250000 skew 60s run 10m",
    "ADD Customer North",
];

#[test]
fn every_edit_round_trips_as_a_line() {
    for line in LINES {
        let edits = edits_of(line);
        let text: Vec<String> = edits.iter().map(edit_text).collect();
        let again = edits_of(&text.join(" ; "));
        assert_eq!(edits, again, "{line} became {text:?}");
    }
    let all = LINES.join(" ; ");
    let Ok(Statement::Change(change)) = parse_line(&format!("{all} on revision 17")) else {
        panic!("all lines as one change");
    };
    assert_eq!(change.base_revision, Some(17));
    assert_eq!(change.edits.len(), LINES.len() + 3);
}

/// An operator could get an error that does not show the mistyped word or how to correct it.
#[test]
fn errors_point_at_the_word_and_name_the_remedy() {
    let lines = [
        "",
        "shwo customers",
        "show custmers",
        "show limits where rat > 5",
        "show limits where rate ~ 5",
        "show limits where rate >",
        "add customer",
        "set customer north rate fast",
        "set customer north priority 300",
        "set\tcustomer north rats 20/s",
        "add key north 1234",
        "roll model captions to v2 lots",
        "add model captions version v1 replicas 6-2",
        "drain enpoint caption-3",
        "undrain endpoint \"odd name",
        "set multiple 1.23456",
        "add customer north; ad customer south",
        "drain endpoint a on revision next",
        "drain endpoint a on revision 5 please",
        "add customer n\u{f8}rre rate langsom",
        "add customer ; remove customer north",
        "drain endpoint a ; show leader",
        "help me",
    ];
    let text: Vec<String> = lines
        .iter()
        .map(|line| match parse_line(line) {
            Err(error) => error.to_string(),
            Ok(statement) => panic!("{line}: {statement:?}"),
        })
        .collect();
    insta::assert_snapshot!("errors", text.join("\n\n"));
}

#[test]
fn answers_render_as_text_and_json() {
    let line = "add model captions version v1 replicas 2..6 size 16gb; add service desk once GET /book; \
                add customer north rate 20/s; allow customer north model captions; \
                allow customer north service desk; add customer south; \
                roll model captions to v2 25%; drain endpoint caption-3; set multiple 1.3";
    let Ok(Statement::Change(statement)) = parse_line(line) else {
        panic!("{line}");
    };
    let mut state = FleetState::default();
    let change = statement.into_command("first", "asta", 0);
    let stamp = CommandStamp::default();
    let action = StateAction::Change(change);
    state
        .apply(1, &StateCommand { stamp, action }.to_bytes())
        .unwrap();
    let mut text = String::new();
    for query_line in [
        "show customers",
        "show limits where rate > 10",
        "show limits where customer != north and concurrent < 33",
        "show models",
        "show versions where model = captions",
        "show services",
        "show drains",
        "show config",
        "show changes",
        "show claims",
    ] {
        let Ok(Statement::Show(query)) = parse_line(query_line) else {
            panic!("{query_line}");
        };
        let table = state_table(query.topic, &state).unwrap();
        let table = table.filtered(&query.conditions);
        text.push_str(&format!("> {query_line}\n{}\n", table.to_text()));
        if query_line.starts_with("show limits where rate") {
            text.push_str(&format!("{}\n\n", table.to_json()));
        }
    }
    let late = ChangeCommand {
        change_id: "second".to_owned(),
        base_revision: 0,
        operator: "bjorn".to_owned(),
        edits: edits_of("set multiple 1.5"),
    };
    let action = StateAction::Change(late);
    let apply_outcome = state
        .apply(2, &StateCommand { stamp, action }.to_bytes())
        .unwrap();
    let ApplyOutcome::Changed(outcome) = apply_outcome else {
        panic!("{apply_outcome:?}");
    };
    text.push_str(&outcome_text(&outcome));
    insta::assert_snapshot!("answers", text);
}

fn word() -> impl Strategy<Value = String> {
    let known =
        "show|add|set|customer|model|rate|where|on|revision|;|=|<|north|20/s|25%|2..6|limits";
    let words: Vec<String> = known.split('|').map(str::to_owned).collect();
    prop_oneof![
        proptest::sample::select(words),
        "\\PC{0,6}",
        "[a-z\"=; ]{0,5}"
    ]
}

proptest! {
    #[test]
    fn error_positions_lie_within_the_line(words in proptest::collection::vec(word(), 0..12)) {
        let line = words.join(" ");
        if let Err(error) = parse_line(&line) {
            let length = line.chars().count();
            prop_assert!(error.column >= 1 && error.column <= length.max(1));
            prop_assert!(error.column + error.width <= length.max(1) + 1, "{error:?}");
            prop_assert!(!error.to_string().is_empty());
        }
    }

    #[test]
    fn edits_with_any_name_round_trip(name in "[^\"]{1,20}", permille in 0u32..20_000) {
        let target = DrainTarget::Endpoint(name);
        let edit = ConfigEdit::Drain { target };
        prop_assert_eq!(edits_of(&edit_text(&edit)), vec![edit]);
        let edit = ConfigEdit::SetMultiple { permille };
        prop_assert_eq!(edits_of(&edit_text(&edit)), vec![edit]);
    }
}
