use super::LogLimiter;

/// Guards against a surge of lines that takes a VM's processor, and lines left out unseen.
#[test]
fn lines_beyond_the_limit_are_left_out_and_counted() {
    let limiter = LogLimiter::default();
    let written = (0..3000).filter(|_| limiter.admit(7)).count();
    assert_eq!(written, 500);
    assert_eq!(limiter.suppressed(), 2500);
    assert!(limiter.admit(8), "the next second has its own");
    assert_eq!(limiter.suppressed(), 2500);
}
