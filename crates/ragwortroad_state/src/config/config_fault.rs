use serde::{
    Deserialize,
    Serialize, //
};
use snafu::Snafu;

/// Why a configuration or an edit is rejected.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Snafu, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
#[snafu(visibility(pub(crate)))]
pub enum ConfigFault {
    /// The edit refers to an entry that does not exist.
    #[snafu(display("there is no {what} {name:?}; see 'show {what}s' for those there are"))]
    Missing {
        /// The kind of entry, such as `model`.
        what: String,
        /// The name of the entry.
        name: String,
    },
    /// The edit adds an entry that already exists.
    #[snafu(display("{what} {name:?} is there already; remove it first or choose another name"))]
    Present {
        /// The kind of entry, such as `model`.
        what: String,
        /// The name of the entry.
        name: String,
    },
    /// A customer refers to an entry that is not declared or that the edit removes.
    #[snafu(display(
        "{user} uses {what} {name:?}, which is not declared; declare it, or take it away from \
         {user} in the same line"
    ))]
    Undeclared {
        /// The kind of entry, such as `model`.
        what: String,
        /// The name of the entry.
        name: String,
        /// The customer that refers to it.
        user: String,
    },
    /// A value is outside its allowed range.
    #[snafu(display("{what} is {value}; choose from {least} to {most}"))]
    OutOfRange {
        /// The setting.
        what: String,
        /// The rejected value.
        value: u64,
        /// The smallest allowed value.
        least: u64,
        /// The largest allowed value.
        most: u64,
    },
    /// A name has invalid characters or an invalid length.
    #[snafu(display(
        "{name:?} is no name; use 1 to 64 letters, digits, '.', '_', '-' and start with a letter \
         or digit"
    ))]
    BadName {
        /// The rejected name.
        name: String,
    },
    /// Two owners have the same API key.
    #[snafu(display("the key of {first} is also the key of {second}; give each a key of its own"))]
    SharedKey {
        /// The owner that was checked first.
        first: String,
        /// The other owner.
        second: String,
    },
    /// The shares of a model's versions do not add up to 100.
    #[snafu(display("the shares of model {model:?} sum up to {sum}; they must make 100"))]
    BadShares {
        /// The model.
        model: String,
        /// The sum of the shares, in percent.
        sum: u32,
    },
    /// The replica counts of a model contradict each other.
    #[snafu(display(
        "model {model:?} wants {wanted} replicas of {min} to {max}; keep min <= wanted <= max and \
         max at least 1"
    ))]
    BadReplicas {
        /// The model.
        model: String,
        /// The minimum.
        min: u32,
        /// The initial count.
        wanted: u32,
        /// The maximum.
        max: u32,
    },
    /// The edit would remove the last operator.
    #[snafu(display("no operator would have a key left; add another operator's key first"))]
    NoOperator,
    /// A member's address is not an `IP:port`.
    #[snafu(display("member {member:?} has the address {address:?}; give an IP:port"))]
    BadAddress {
        /// The member's node name.
        member: String,
        /// The rejected address.
        address: String,
    },
    /// One change adds or removes more than one member.
    #[snafu(display(
        "one change may add or remove one member; make the others changes of their own"
    ))]
    ManyMembers,
    /// A call pattern has an invalid method or path.
    #[snafu(display(
        "{pattern:?} is no pattern of calls; write a method in capitals and a path such as \
         GET /slots/*"
    ))]
    BadPattern {
        /// The rejected pattern.
        pattern: String,
    },
    /// The change has no edits or too many.
    #[snafu(display("a change has {count} edits; give 1 to {most}"))]
    BadCount {
        /// The number of edits.
        count: u64,
        /// The largest allowed value.
        most: u64,
    },
}
