use ragwortroad_state::prelude::*;

use crate::edit_text;

/// Formats the outcome of a change for the operator who issued it.
pub fn outcome_text(outcome: &ChangeOutcome) -> String {
    match outcome {
        ChangeOutcome::Accepted { revision } => format!("accepted as revision {revision}"),
        ChangeOutcome::Conflict { revision, winner } => {
            let winner = winner.as_deref().map_or_else(
                || "the change that won is no longer kept".to_owned(),
                winner_text,
            );
            format!(
                "refused: the configuration is at revision {revision} now; {winner}. Look at \
                 'show changes' and issue the change again on revision {revision}"
            )
        }
        ChangeOutcome::Ahead { revision } => format!(
            "refused: the configuration is only at revision {revision}; issue the change again \
             on revision {revision}"
        ),
        ChangeOutcome::Invalid { faults } => {
            let faults: Vec<String> = faults.iter().map(ToString::to_string).collect();
            format!("refused, nothing was changed: {}", faults.join("; also, "))
        }
        ChangeOutcome::IdReused => "refused: another change has the same id; issue this one under \
                                    a new id"
            .to_owned(),
        ChangeOutcome::BadId => "refused: a change needs an id of 1 to 64 bytes".to_owned(),
    }
}

fn winner_text(change: &AcceptedChange) -> String {
    let edits: Vec<String> = change.edits.iter().map(edit_text).collect();
    format!(
        "revision {} by {} won with '{}'",
        change.revision,
        change.operator,
        edits.join("; ")
    )
}
