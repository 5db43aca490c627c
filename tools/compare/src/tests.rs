use crate::{
    bench_runner::add_variant,
    paired_difference::PairedDifference,
    run_figures::RunFigures, //
};

fn runs(worths: &[f64]) -> Vec<RunFigures> {
    let run = |worth: &f64| RunFigures {
        worth: *worth,
        served: 0.9,
        refused: 0.0,
        failed: 0.1,
    };
    worths.iter().map(run).collect()
}

fn difference(base: &[f64], other: &[f64]) -> PairedDifference {
    PairedDifference::of(&runs(base), &runs(other), |run| run.worth)
}

#[test]
fn figures_are_read_from_the_line_below_the_header() {
    let output = "built in 1.0 s\nday  own/srv score worth served refused failed weakest part\n\
        mix --seed 7   72/143   0.79  0.753  0.901   0.001  0.035  worst windows 0.73\n";
    let expected = RunFigures {
        worth: 0.753,
        served: 0.901,
        refused: 0.001,
        failed: 0.035,
    };
    assert_eq!(RunFigures::read(output), Some(expected));
    assert_eq!(RunFigures::read("72/143 0.79 0.7 0.9 0 0\n"), None);
    let cut = "day own/srv\nquiet 72/143 0.79 0.7\n";
    assert_eq!(RunFigures::read(cut), None);
}

#[test]
fn a_difference_is_significant_where_all_pairs_agree() {
    let clear = difference(&[0.742, 0.751, 0.750], &[0.753, 0.760, 0.763]);
    assert!(clear.is_significant(), "{clear}");
    let chance = difference(&[0.70, 0.75, 0.80], &[0.78, 0.70, 0.79]);
    assert!(!chance.is_significant(), "{chance}");
    let small = difference(&[0.700, 0.750], &[0.702, 0.752]);
    assert!(!small.is_significant(), "{small}");
    let single = difference(&[0.5], &[0.8]);
    assert!(!single.is_significant(), "{single}");
}

#[test]
fn settings_of_a_variant_follow_the_template() {
    let text = add_variant("[log]\nlevel = info\n", "[mechanisms]\nresume = false\n");
    assert_eq!(
        text,
        "[log]\nlevel = info\n\n[mechanisms]\nresume = false\n"
    );
}
