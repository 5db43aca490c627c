//! Mapping between certificates and node identities.

use ragwortroad_types::prelude::*;
use rustls_pki_types::CertificateDer;

use crate::{
    TransportError,
    transport_error::NamelessCertificateSnafu, //
};

/// Domain of the subject names that hold node identities.
const NODE_DOMAIN: &str = "node.ragwortroad.internal";

/// The subject name of `node` in its certificate.
///
/// The certificate holds this name beside the plain node name, because a connecting peer knows only
/// the identity and the TLS library verifies the subject names.
pub(crate) fn subject_name(node: NodeId) -> String {
    format!("{node}.{NODE_DOMAIN}")
}

/// The node to which `certificate` belongs.
pub(crate) fn certificate_node(certificate: &CertificateDer<'_>) -> Result<NodeId, TransportError> {
    let Ok(parsed) = webpki::EndEntityCert::try_from(certificate) else {
        return NamelessCertificateSnafu.fail();
    };
    for name in parsed.valid_dns_names() {
        let Some((label, domain)) = name.split_once('.') else {
            continue;
        };
        if domain != NODE_DOMAIN {
            continue;
        }
        if let Ok(number) = u64::from_str_radix(label, 16) {
            return Ok(NodeId(number));
        }
    }
    NamelessCertificateSnafu.fail()
}
