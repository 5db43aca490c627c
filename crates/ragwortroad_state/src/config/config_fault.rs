use serde::{
    Deserialize,
    Serialize, //
};
use snafu::Snafu;

/// Why a configuration or an edit of it cannot be accepted.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Snafu, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
#[snafu(visibility(pub(crate)))]
pub enum ConfigFault {
    /// The edit is about something that is not there.
    #[snafu(display("there is no {what} {name:?}; see 'show {what}s' for those there are"))]
    Missing {
        /// The kind of thing.
        what: String,
        /// Its name.
        name: String,
    },
    /// The edit adds something that is there already.
    #[snafu(display("{what} {name:?} is there already; remove it first or choose another name"))]
    Present {
        /// The kind of thing.
        what: String,
        /// Its name.
        name: String,
    },
    /// A customer uses what is not declared, or would be no more.
    #[snafu(display(
        "{user} uses {what} {name:?}, which is not declared; declare it, or take it away from \
         {user} in the same line"
    ))]
    Undeclared {
        /// The kind of thing.
        what: String,
        /// Its name.
        name: String,
        /// Who uses it.
        user: String,
    },
    /// A number is outside of what is allowed.
    #[snafu(display("{what} is {value}; choose from {least} to {most}"))]
    OutOfRange {
        /// What the number is.
        what: String,
        /// The number.
        value: u64,
        /// The least allowed.
        least: u64,
        /// The most allowed.
        most: u64,
    },
    /// A name cannot be used.
    #[snafu(display(
        "{name:?} is no name; use 1 to 64 letters, digits, '.', '_', '-' and start with a letter \
         or digit"
    ))]
    BadName {
        /// The name.
        name: String,
    },
    /// One key belongs to two.
    #[snafu(display("the key of {first} is also the key of {second}; give each a key of its own"))]
    SharedKey {
        /// One owner.
        first: String,
        /// The other.
        second: String,
    },
    /// The shares of a model's versions are off.
    #[snafu(display("the shares of model {model:?} sum up to {sum}; they must make 100"))]
    BadShares {
        /// The model.
        model: String,
        /// The sum.
        sum: u32,
    },
    /// The numbers of replicas contradict each other.
    #[snafu(display(
        "model {model:?} wants {wanted} replicas of {min} to {max}; keep min <= wanted <= max and \
         max at least 1"
    ))]
    BadReplicas {
        /// The model.
        model: String,
        /// Least.
        min: u32,
        /// Wanted.
        wanted: u32,
        /// Most.
        max: u32,
    },
    /// No operator would be left.
    #[snafu(display("no operator would have a key left; add another operator's key first"))]
    NoOperator,
    /// A member's address is no `IP:port`.
    #[snafu(display("member {member:?} has the address {address:?}; give an IP:port"))]
    BadAddress {
        /// The member.
        member: String,
        /// The address.
        address: String,
    },
    /// More than one member would join or leave at once.
    #[snafu(display(
        "one change may add or remove one member; make the others changes of their own"
    ))]
    ManyMembers,
    /// A pattern of calls cannot be used.
    #[snafu(display(
        "{pattern:?} is no pattern of calls; write a method in capitals and a path such as \
         GET /slots/*"
    ))]
    BadPattern {
        /// The pattern.
        pattern: String,
    },
    /// The change has no edits, or too many.
    #[snafu(display("a change has {count} edits; give 1 to {most}"))]
    BadCount {
        /// How many it has.
        count: u64,
        /// The most allowed.
        most: u64,
    },
}
