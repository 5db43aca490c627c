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

/// How the outside speaks to a registry.
///
/// Names and formats of the outside live behind these functions, which decide nothing.
#[derive(Clone, Copy, Debug)]
pub struct RegistryPort {
    /// Reads a request.
    pub decode_call: fn(&Method, &Uri, Bytes) -> ControlCall,
    /// Writes an answer.
    pub encode_reply: fn(&ControlReply) -> Response<Full<Bytes>>,
    /// Reads a configuration document.
    pub decode_config: fn(&[u8]) -> Result<SiteConfig, ConfigFault>,
}
