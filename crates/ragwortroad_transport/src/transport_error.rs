use std::{
    io,
    net::SocketAddr,
    path::PathBuf, //
};

use snafu::Snafu;

/// Why keys could not be made or read, or the transport not started.
#[derive(Debug)]
#[derive(Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum TransportError {
    /// No node was named.
    #[snafu(display("no node is named; name at least one node to make keys for"))]
    NoNodes,
    /// A name that cannot stand in a certificate.
    #[snafu(display(
        "'{name}' cannot stand in a certificate; use 1 to 63 of the letters a-z, digits and '-'"
    ))]
    BadName {
        /// The name.
        name: String,
    },
    /// One name given twice.
    #[snafu(display("the node '{name}' is named twice; give every node a name of its own"))]
    SameName {
        /// The name.
        name: String,
    },
    /// No keys were made for this node.
    #[snafu(display("there are no keys for '{name}'; make them with `ragwortroad keys`"))]
    NoSuchNode {
        /// The node's name.
        name: String,
    },
    /// Making a certificate failed.
    #[snafu(display(
        "cannot make a certificate: {source}; check that the authority's key is whole"
    ))]
    MakeCertificate {
        /// The library's reason.
        source: rcgen::Error,
    },
    /// A key file could not be read or written.
    #[snafu(display("cannot use the key file {}: {source}; check path and permissions", path.display()))]
    KeyFile {
        /// The file.
        path: PathBuf,
        /// The system's reason.
        source: io::Error,
    },
    /// A key file does not hold what it should.
    #[snafu(display("the {what} is not usable PEM: {source}; make it with `ragwortroad keys`"))]
    KeyText {
        /// Which of the three.
        what: &'static str,
        /// The library's reason.
        source: rustls_pki_types::pem::Error,
    },
    /// Certificate and key do not fit together, or the library refused them.
    #[snafu(display("the keys are refused: {source}; make them anew with `ragwortroad keys`"))]
    KeysRefused {
        /// The library's reason.
        source: rustls::Error,
    },
    /// The verifier of peers could not be built.
    #[snafu(display("the authority is refused: {reason}; make keys anew with `ragwortroad keys`"))]
    AuthorityRefused {
        /// The library's reason.
        reason: String,
    },
    /// The certificate does not say whose it is.
    #[snafu(display("a certificate names no node; make it with `ragwortroad keys`"))]
    NamelessCertificate,
    /// The listening address could not be used.
    #[snafu(display("cannot listen on {address}: {source}; free the port or change the settings"))]
    Listen {
        /// The address.
        address: SocketAddr,
        /// The system's reason.
        source: io::Error,
    },
    /// The runtime could not be started.
    #[snafu(display("cannot start the transport's threads: {source}; check the process limits"))]
    StartRuntime {
        /// The system's reason.
        source: io::Error,
    },
}
