use super::LineQuota;

/// Thousands of callers are refused in a second. Their lines must not take the time of those who
/// can be served, and what is left out must be counted, or the one on call would think that
/// nothing happened.
#[test]
fn lines_beyond_the_limit_are_left_out_and_counted() {
    let quota = LineQuota::default();
    let written = (0..3000).filter(|_| quota.admit(7)).count();
    assert_eq!(written, 500);
    assert_eq!(quota.left_out(), 2500);
    assert!(quota.admit(8), "the next second has its own");
    assert_eq!(quota.left_out(), 2500);
}
