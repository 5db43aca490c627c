use bytes::Bytes;
use http_body_util::Full;
use hyper::{
    Method,
    Response,
    Uri, //
};
use ragwortroad_dispatch::prelude::*;

use crate::{
    ControlCall,
    ControlReply, //
};

/// Adapter between the public control interface and a registry.
///
/// These functions hold all names and formats of the public interface, and no decisions.
#[derive(Clone, Copy, Debug)]
pub struct RegistryPort {
    /// Decodes an HTTP request.
    pub decode_call: fn(&Method, &Uri, Bytes) -> ControlCall,
    /// Encodes a reply as an HTTP response.
    pub encode_reply: fn(&ControlReply) -> Response<Full<Bytes>>,
    /// Decodes and validates a configuration document.
    pub decode_config: fn(&[u8]) -> Result<SiteConfig, ConfigFault>,
}
