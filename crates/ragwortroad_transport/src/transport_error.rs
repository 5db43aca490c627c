use std::{
    io,
    net::SocketAddr,
    path::PathBuf, //
};

use snafu::Snafu;

/// An error in creating or reading keys or in starting the transport.
#[derive(Debug)]
#[derive(Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum TransportError {
    /// No node was named.
    #[snafu(display("no node is named; name at least one node to make keys for"))]
    NoNodes,
    /// A name that is not valid as a label in a certificate.
    #[snafu(display(
        "'{name}' cannot stand in a certificate; use 1 to 63 of the letters a-z, digits and '-'"
    ))]
    BadName {
        /// The name.
        name: String,
    },
    /// A node name was given more than once.
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
        /// The error from the library.
        source: rcgen::Error,
    },
    /// A key file could not be read or written.
    #[snafu(display("cannot use the key file {}: {source}; check path and permissions", path.display()))]
    KeyFile {
        /// The file.
        path: PathBuf,
        /// The error from the operating system.
        source: io::Error,
    },
    /// A key file does not hold what it should.
    #[snafu(display("the {what} is not usable PEM: {source}; make it with `ragwortroad keys`"))]
    KeyText {
        /// Names the faulty key or certificate.
        what: &'static str,
        /// The error from the library.
        source: rustls_pki_types::pem::Error,
    },
    /// The certificate and the key do not match, or the TLS library rejects them.
    #[snafu(display("the keys are refused: {source}; make them anew with `ragwortroad keys`"))]
    KeysRefused {
        /// The error from the library.
        source: rustls::Error,
    },
    /// The certificate verifier could not be built.
    #[snafu(display("the authority is refused: {reason}; make keys anew with `ragwortroad keys`"))]
    AuthorityRefused {
        /// The error from the library.
        reason: String,
    },
    /// The certificate names no node.
    #[snafu(display("a certificate names no node; make it with `ragwortroad keys`"))]
    NamelessCertificate,
    /// The listening address could not be used.
    #[snafu(display("cannot listen on {address}: {source}; free the port or change the settings"))]
    Listen {
        /// The address.
        address: SocketAddr,
        /// The error from the operating system.
        source: io::Error,
    },
    /// The runtime could not be started.
    #[snafu(display("cannot start the transport's threads: {source}; check the process limits"))]
    StartRuntime {
        /// The error from the operating system.
        source: io::Error,
    },
}
