use crate::settings_reader::SettingsReader;

/// `[mechanisms]`: what an edge does by itself, each of which can be switched off.
///
/// For the night on which one of them misbehaves, and to measure what each is worth. All are on
/// unless the file says `false`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MechanismSettings {
    /// Limits on requests under way, with a queue and refusals at the edge.
    pub admission: bool,
    /// The limit of plain services, learned from the times of their answers.
    pub plain_limit: bool,
    /// Requests that are late already wait behind those that are not.
    pub late_last: bool,
    /// Refused callers are sent away for as long as there has been too much.
    pub long_return: bool,
    /// Requests go to engines that hold their shared text.
    pub text_places: bool,
    /// Edges tell each other where texts were read.
    pub told_places: bool,
    /// Engines copy shared text from each other.
    pub text_copies: bool,
    /// Edges tell each other what they have under way.
    pub told_loads: bool,
    /// Endpoints that cannot be reached are left alone for a while.
    pub failure_pauses: bool,
    /// Endpoints that fail many requests are avoided.
    pub failing_share: bool,
    /// Requests are sent to a second endpoint where that is harmless.
    pub repeats: bool,
    /// An endpoint that does not begin to answer is given up for another one.
    pub silence: bool,
    /// Broken streams go on at another engine within one answer.
    pub resume: bool,
    /// Requests wait for an edge that is starting.
    pub start_wait: bool,
    /// Requests wait for the engine that holds their text to announce itself.
    pub holder_wait: bool,
    /// Engines are told the ranks of requests.
    pub engine_ranks: bool,
}

impl Default for MechanismSettings {
    fn default() -> Self {
        Self {
            admission: true,
            plain_limit: true,
            late_last: true,
            long_return: true,
            text_places: true,
            told_places: true,
            text_copies: true,
            told_loads: true,
            failure_pauses: true,
            failing_share: true,
            repeats: true,
            silence: true,
            resume: true,
            start_wait: true,
            holder_wait: true,
            engine_ranks: true,
        }
    }
}

impl MechanismSettings {
    pub(crate) fn read(reader: &mut SettingsReader<'_>) -> Self {
        let mut is_enabled = |key| {
            let value = reader.optional_value("mechanisms", key, "true");
            value.unwrap_or(true)
        };
        Self {
            admission: is_enabled("admission"),
            plain_limit: is_enabled("plain_limit"),
            late_last: is_enabled("late_last"),
            long_return: is_enabled("long_return"),
            text_places: is_enabled("text_places"),
            told_places: is_enabled("told_places"),
            text_copies: is_enabled("text_copies"),
            told_loads: is_enabled("told_loads"),
            failure_pauses: is_enabled("failure_pauses"),
            failing_share: is_enabled("failing_share"),
            repeats: is_enabled("repeats"),
            silence: is_enabled("silence"),
            resume: is_enabled("resume"),
            start_wait: is_enabled("start_wait"),
            holder_wait: is_enabled("holder_wait"),
            engine_ranks: is_enabled("engine_ranks"),
        }
    }
}
