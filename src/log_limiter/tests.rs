use super::LogLimiter;

/// Guards against log lines that use up a VM's processor time in a surge of requests, and against
/// lines that are suppressed without being counted.
#[test]
fn lines_above_the_limit_are_suppressed_and_counted() {
    let limiter = LogLimiter::default();
    let written = (0..3000).filter(|_| limiter.admit(7)).count();
    assert_eq!(written, 500);
    assert_eq!(limiter.suppressed(), 2500);
    assert!(limiter.admit(8), "each second has its own limit");
    assert_eq!(limiter.suppressed(), 2500);
}
