use std::{
    fs::{
        self,
        OpenOptions, //
    },
    io::Write,
    os::unix::fs::OpenOptionsExt,
    path::Path, //
};

use ragwortroad_types::prelude::*;
use rcgen::{
    BasicConstraints,
    CertificateParams,
    DistinguishedName,
    DnType,
    ExtendedKeyUsagePurpose,
    IsCa,
    Issuer,
    KeyPair,
    KeyUsagePurpose, //
};
use snafu::{
    ResultExt,
    ensure, //
};

use crate::{
    PeerKeys, TransportError,
    peer_identity::subject_name,
    peer_keys::AUTHORITY_FILE,
    transport_error::{
        BadNameSnafu,
        KeyFileSnafu,
        MakeCertificateSnafu,
        NoNodesSnafu,
        NoSuchNodeSnafu,
        SameNameSnafu, //
    },
};

/// File name of the authority's private key.
const AUTHORITY_KEY_FILE: &str = "authority.key";

/// All keys of a fleet, as PEM text.
#[derive(Clone)]
pub struct KeyFiles {
    /// The authority's certificate, which every node holds.
    pub authority: String,
    /// The authority's private key, which stays with the operators and is on no node.
    pub authority_key: String,
    /// Certificate and private key of each node.
    pub nodes: Vec<NodeKeys>,
}

/// Certificate and private key of one node, as PEM text.
#[derive(Clone)]
pub struct NodeKeys {
    /// The node's name.
    pub name: String,
    /// The certificate.
    pub certificate: String,
    /// The private key.
    pub private_key: String,
}

/// Creates a certificate authority for `fleet`, and a certificate and key for each of `nodes`.
///
/// # Errors
///
/// Fails if a name is invalid or repeated, `nodes` is empty, or a certificate cannot be created.
pub fn make_keys(fleet: &str, nodes: &[&str]) -> Result<KeyFiles, TransportError> {
    check_name(fleet)?;
    let key = KeyPair::generate().context(MakeCertificateSnafu)?;
    let authority = authority_params(fleet)
        .self_signed(&key)
        .context(MakeCertificateSnafu)?;
    let authority_key = key.serialize_pem();
    let nodes = add_keys(fleet, &authority_key, nodes)?;
    Ok(KeyFiles {
        authority: authority.pem(),
        authority_key,
        nodes,
    })
}

/// Creates certificates and keys for further nodes of a fleet whose authority already exists.
///
/// A VM that replaces a lost one gets a new name, and therefore a new identity.
pub fn add_keys(
    fleet: &str,
    authority_key: &str,
    nodes: &[&str],
) -> Result<Vec<NodeKeys>, TransportError> {
    check_name(fleet)?;
    ensure!(!nodes.is_empty(), NoNodesSnafu);
    let key = KeyPair::from_pem(authority_key).context(MakeCertificateSnafu)?;
    let issuer = Issuer::new(authority_params(fleet), key);
    let mut node_keys_list: Vec<NodeKeys> = Vec::with_capacity(nodes.len());
    for name in nodes {
        check_name(name)?;
        let is_duplicate = node_keys_list.iter().any(|node| node.name == *name);
        ensure!(!is_duplicate, SameNameSnafu { name: *name });
        node_keys_list.push(node_keys(name, &issuer)?);
    }
    Ok(node_keys_list)
}

impl KeyFiles {
    /// The keys that the node `name` needs; an error if `name` is not in the fleet.
    pub fn peer_keys(&self, name: &str) -> Result<PeerKeys, TransportError> {
        let Some(node) = self.nodes.iter().find(|node| node.name == name) else {
            return NoSuchNodeSnafu { name }.fail();
        };
        Ok(PeerKeys {
            authority: self.authority.clone(),
            certificate: node.certificate.clone(),
            private_key: node.private_key.clone(),
        })
    }

    /// Writes all files into `folder`; private keys are readable by their owner alone.
    ///
    /// Existing files are not replaced: a second authority under the name of the first would cut
    /// the nodes off from each other one by one as they restart.
    pub fn write_to(&self, folder: &Path) -> Result<(), TransportError> {
        fs::create_dir_all(folder).context(KeyFileSnafu { path: folder })?;
        write_file(&folder.join(AUTHORITY_FILE), &self.authority, 0o644)?;
        write_file(&folder.join(AUTHORITY_KEY_FILE), &self.authority_key, 0o600)?;
        for node in &self.nodes {
            node.write_to(folder)?;
        }
        Ok(())
    }
}

impl NodeKeys {
    /// Writes `NAME.pem` and `NAME.key` into `folder`.
    pub fn write_to(&self, folder: &Path) -> Result<(), TransportError> {
        let name = &self.name;
        write_file(
            &folder.join(format!("{name}.pem")),
            &self.certificate,
            0o644,
        )?;
        write_file(
            &folder.join(format!("{name}.key")),
            &self.private_key,
            0o600,
        )
    }
}

/// Creates the certificate and key of one node.
fn node_keys(name: &str, issuer: &Issuer<'_, KeyPair>) -> Result<NodeKeys, TransportError> {
    let key = KeyPair::generate().context(MakeCertificateSnafu)?;
    let identity = subject_name(NodeId::from_name(name));
    let mut params =
        CertificateParams::new(vec![name.to_owned(), identity]).context(MakeCertificateSnafu)?;
    params.distinguished_name = common_name(name);
    params.use_authority_key_identifier_extension = true;
    params.key_usages = vec![KeyUsagePurpose::DigitalSignature];
    params.extended_key_usages = vec![
        ExtendedKeyUsagePurpose::ServerAuth,
        ExtendedKeyUsagePurpose::ClientAuth,
    ];
    let certificate = params
        .signed_by(&key, issuer)
        .context(MakeCertificateSnafu)?;
    Ok(NodeKeys {
        name: name.to_owned(),
        certificate: certificate.pem(),
        private_key: key.serialize_pem(),
    })
}

/// Parameters of the authority's certificate. They depend only on the fleet's name, so that the
/// authority's key suffices to issue further certificates.
fn authority_params(fleet: &str) -> CertificateParams {
    let mut params = CertificateParams::default();
    params.distinguished_name = common_name(fleet);
    params.is_ca = IsCa::Ca(BasicConstraints::Constrained(0));
    params.key_usages = vec![KeyUsagePurpose::KeyCertSign, KeyUsagePurpose::CrlSign];
    params
}

/// A distinguished name with only a common name.
fn common_name(name: &str) -> DistinguishedName {
    let mut distinguished = DistinguishedName::new();
    distinguished.push(DnType::CommonName, name);
    distinguished
}

/// Rejects a name that is not valid as one label of a domain name in a certificate.
fn check_name(name: &str) -> Result<(), TransportError> {
    let is_allowed = |byte: u8| byte.is_ascii_lowercase() || byte.is_ascii_digit() || byte == b'-';
    let has_edge_hyphen = name.starts_with('-') || name.ends_with('-');
    let is_valid =
        (1..=63).contains(&name.len()) && name.bytes().all(is_allowed) && !has_edge_hyphen;
    ensure!(is_valid, BadNameSnafu { name });
    Ok(())
}

/// Writes a new file, created with the permissions `mode`.
fn write_file(path: &Path, text: &str, mode: u32) -> Result<(), TransportError> {
    let mut file = OpenOptions::new()
        .write(true)
        .create_new(true)
        .mode(mode)
        .open(path)
        .context(KeyFileSnafu { path })?;
    file.write_all(text.as_bytes())
        .context(KeyFileSnafu { path })?;
    file.sync_all().context(KeyFileSnafu { path })
}
