/// Judgement of a request under which endpoints have crashed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum CrashVerdict {
    /// It may be sent: it has few crashes, or others explain them.
    Sound,
    /// It or another request may be to blame: it is tried after a short time.
    Suspect,
    /// It must not be sent until its quarantine ends.
    Quarantined,
}
