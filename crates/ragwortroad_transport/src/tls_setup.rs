//! TLS and QUIC configuration, derived from the keys of a node.

use std::sync::Arc;

use quinn::{
    ClientConfig,
    EndpointConfig,
    IdleTimeout,
    ServerConfig,
    TransportConfig,
    VarInt,
    crypto::rustls::{
        QuicClientConfig,
        QuicServerConfig, //
    }, //
};
use quinn_proto::RandomConnectionIdGenerator;
use ragwortroad_types::prelude::*;
use ring::hmac;
use rustls::{
    RootCertStore,
    crypto::CryptoProvider,
    server::WebPkiClientVerifier, //
};
use rustls_pki_types::{
    CertificateDer,
    PrivateKeyDer,
    pem::PemObject, //
};
use snafu::ResultExt;

use crate::{
    PeerKeys,
    TransportError,
    TransportSettings,
    peer_identity::certificate_node,
    transport_error::{
        KeyTextSnafu,
        KeysRefusedSnafu, //
    },
    transport_root::PENDING_HANDSHAKES_FACTOR, //
};

/// ALPN protocol identifier, which both sides must present.
const ALPN_PROTOCOL: &[u8] = b"ragwortroad/1";
/// Label that separates the key for stateless resets from other uses of the private key.
const RESET_KEY_LABEL: &[u8] = b"ragwortroad stateless reset";
/// Length of connection identifiers in bytes.
const CONNECTION_ID_BYTES: usize = 8;
/// Size of the datagram buffers of a connection in bytes; a full send buffer drops the oldest
/// datagrams.
const DATAGRAM_BUFFER_BYTES: usize = 64 << 10;

/// The configuration of a QUIC endpoint.
pub(crate) struct TlsSetup {
    /// The node to which the keys belong.
    pub(crate) node: NodeId,
    /// Configuration for incoming connections.
    pub(crate) server: ServerConfig,
    /// Configuration for outgoing connections.
    pub(crate) client: ClientConfig,
    /// Configuration of the socket.
    pub(crate) endpoint: EndpointConfig,
}

/// The decoded keys of a node.
struct DecodedKeys {
    /// Trust root: the certificate authority of the fleet.
    roots: Arc<RootCertStore>,
    certificate: CertificateDer<'static>,
    private_key: PrivateKeyDer<'static>,
}

impl TlsSetup {
    /// Decodes and checks the keys, and applies the limits from the settings.
    pub(crate) fn new(settings: &TransportSettings) -> Result<Self, TransportError> {
        let keys = DecodedKeys::new(&settings.keys)?;
        let node = certificate_node(&keys.certificate)?;
        let provider = Arc::new(rustls::crypto::ring::default_provider());
        let transport = Arc::new(transport_config(settings));
        let endpoint = endpoint_config(&keys.private_key);
        let mut client = client_config(&keys, provider.clone())?;
        client.transport_config(transport.clone());
        let mut server = server_config(keys, provider)?;
        server.transport_config(transport);
        server.max_incoming(settings.max_handshakes * PENDING_HANDSHAKES_FACTOR);
        server.migration(false);
        Ok(Self {
            node,
            server,
            client,
            endpoint,
        })
    }
}

impl DecodedKeys {
    fn new(keys: &PeerKeys) -> Result<Self, TransportError> {
        let authority = certificate("authority's certificate", &keys.authority)?;
        let mut roots = RootCertStore::empty();
        roots.add(authority).context(KeysRefusedSnafu)?;
        let private_key =
            PrivateKeyDer::from_pem_slice(keys.private_key.as_bytes()).context(KeyTextSnafu {
                what: "node's private key",
            })?;
        Ok(Self {
            roots: Arc::new(roots),
            certificate: certificate("node's certificate", &keys.certificate)?,
            private_key,
        })
    }
}

fn certificate(what: &'static str, text: &str) -> Result<CertificateDer<'static>, TransportError> {
    CertificateDer::from_pem_slice(text.as_bytes()).context(KeyTextSnafu { what })
}

/// TLS configuration for incoming connections: a peer must present a certificate from the fleet's
/// authority.
fn server_config(
    keys: DecodedKeys,
    provider: Arc<CryptoProvider>,
) -> Result<ServerConfig, TransportError> {
    let verifier = WebPkiClientVerifier::builder_with_provider(keys.roots, provider.clone())
        .build()
        .map_err(|error| authority_refused(&error))?;
    let mut config = rustls::ServerConfig::builder_with_provider(provider)
        .with_protocol_versions(&[&rustls::version::TLS13])
        .context(KeysRefusedSnafu)?
        .with_client_cert_verifier(verifier)
        .with_single_cert(vec![keys.certificate], keys.private_key)
        .context(KeysRefusedSnafu)?;
    config.alpn_protocols = vec![ALPN_PROTOCOL.to_vec()];
    let config = QuicServerConfig::try_from(config).map_err(|error| authority_refused(&error))?;
    Ok(ServerConfig::with_crypto(Arc::new(config)))
}

/// TLS configuration for outgoing connections.
fn client_config(
    keys: &DecodedKeys,
    provider: Arc<CryptoProvider>,
) -> Result<ClientConfig, TransportError> {
    let mut config = rustls::ClientConfig::builder_with_provider(provider)
        .with_protocol_versions(&[&rustls::version::TLS13])
        .context(KeysRefusedSnafu)?
        .with_root_certificates(keys.roots.clone())
        .with_client_auth_cert(vec![keys.certificate.clone()], keys.private_key.clone_key())
        .context(KeysRefusedSnafu)?;
    config.alpn_protocols = vec![ALPN_PROTOCOL.to_vec()];
    let config = QuicClientConfig::try_from(config).map_err(|error| authority_refused(&error))?;
    Ok(ClientConfig::new(Arc::new(config)))
}

/// The error for an authority that the TLS library rejects.
fn authority_refused(error: &dyn std::error::Error) -> TransportError {
    TransportError::AuthorityRefused {
        reason: error.to_string(),
    }
}

/// Builds the configuration of the socket.
///
/// The key for stateless resets is derived from the private key, so that it survives a restart: a
/// peer that still sends on a connection of the previous process is reset immediately. With a
/// random key the peer would keep sending without effect until its idle timeout, and would not hear
/// the node for that long although the node is up.
fn endpoint_config(private_key: &PrivateKeyDer<'_>) -> EndpointConfig {
    let purpose = hmac::Key::new(hmac::HMAC_SHA256, RESET_KEY_LABEL);
    let derived = hmac::sign(&purpose, private_key.secret_der());
    let key = hmac::Key::new(hmac::HMAC_SHA256, derived.as_ref());
    let mut config = EndpointConfig::new(Arc::new(key));
    config.cid_generator(|| Box::new(RandomConnectionIdGenerator::new(CONNECTION_ID_BYTES)));
    config
}

/// Limits of a connection.
fn transport_config(settings: &TransportSettings) -> TransportConfig {
    let window = VarInt::try_from(settings.max_message_bytes as u64 + 1).unwrap_or(VarInt::MAX);
    let mut config = TransportConfig::default();
    config.max_concurrent_bidi_streams(VarInt::from_u32(0));
    config.max_concurrent_uni_streams(VarInt::from_u32(settings.max_streams_per_peer));
    config.stream_receive_window(window);
    config.receive_window(window);
    // Path MTU discovery costs about 10 KB per connection, more than most connections carry.
    config.mtu_discovery_config(None);
    config.datagram_send_buffer_size(DATAGRAM_BUFFER_BYTES);
    config.datagram_receive_buffer_size(Some(DATAGRAM_BUFFER_BYTES));
    config.max_idle_timeout(IdleTimeout::try_from(settings.idle_timeout).ok());
    config
}
