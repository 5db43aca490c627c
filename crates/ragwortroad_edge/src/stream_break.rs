/// Why a stream cannot continue at its endpoint.
#[derive(Clone, Copy, Debug)]
pub(crate) struct StreamBreak {
    pub(crate) reason: &'static str,
    /// Whether the endpoint closed the connection; otherwise it fell silent.
    pub(crate) is_cut: bool,
}

impl StreamBreak {
    /// The endpoint closed the connection before the end of the stream.
    pub(crate) fn cut(reason: &'static str) -> Self {
        Self {
            reason,
            is_cut: true,
        }
    }

    /// Nothing more came from the endpoint.
    pub(crate) fn silent(reason: &'static str) -> Self {
        Self {
            reason,
            is_cut: false,
        }
    }
}
