//! How a certificate says which node it belongs to.

use ragwortroad_types::prelude::*;
use rustls_pki_types::CertificateDer;

use crate::{
    TransportError,
    transport_error::NamelessCertificateSnafu, //
};

/// The domain under which node identities stand as subject names.
const NODE_DOMAIN: &str = "node.ragwortroad.internal";

/// The subject name that stands for `node` in its certificate.
///
/// The identity stands there beside the plain name, because whoever connects knows the identity
/// only, and the TLS library checks the subject names.
pub(crate) fn subject_name(node: NodeId) -> String {
    format!("{node}.{NODE_DOMAIN}")
}

/// The node that `certificate` belongs to.
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
