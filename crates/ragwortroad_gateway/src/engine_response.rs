//! Opens attempts at engines until one responds with a valid head.

use bytes::Bytes;
use hyper::{
    Method,
    Response,
    StatusCode,
    body::Incoming, //
};

use crate::{
    AttemptOutcome,
    engine_request::engine_request,
    request_flow::{
        FlowEnd,
        OpenAttempt,
        RequestFlow, //
    }, //
    response_body::ResponseBody,
    response_builder::text_response,
    response_check::{
        check_head,
        read_complete, //
    },
};

/// Result of the response head of an engine.
pub(crate) enum EngineResponse {
    /// The engine accepted the request; the body of the response follows.
    Accepted(Box<AcceptedResponse>),
    /// The engine refused the request itself, for example as malformed.
    Refusal(Response<ResponseBody>),
}

/// An open response with a valid head, and its attempt.
pub(crate) struct AcceptedResponse {
    pub(crate) attempt: OpenAttempt,
    pub(crate) response: Response<Incoming>,
}

/// Opens attempts until an engine responds with a valid head.
pub(crate) async fn open_response(
    flow: &mut RequestFlow,
    body: &Bytes,
) -> Result<EngineResponse, FlowEnd> {
    loop {
        let mut attempt = flow.open().await?;
        let context = flow.context.clone();
        let make_request = |grant: &crate::AdmitGrant, attempt: u32| {
            engine_request(&context, grant, attempt, body.clone())
        };
        let must_echo = flow.state.settings.require_request_id_echo;
        let response = flow.exchange(&mut attempt, make_request).await;
        let response = response.and_then(|response| {
            check_head(&Method::POST, &response, context.request, must_echo)?;
            Ok(response)
        });
        let reason = match response {
            Ok(response) if response.status() == StatusCode::OK => {
                return Ok(EngineResponse::Accepted(Box::new(AcceptedResponse {
                    attempt,
                    response,
                })));
            }
            Ok(response) if is_client_fault(response.status()) => {
                match forward_refusal(flow, attempt, response).await? {
                    Some(client_response) => return Ok(EngineResponse::Refusal(client_response)),
                    None => continue,
                }
            }
            Ok(response) => {
                attempt.guard.note_rest(&response);
                let reason = format!("the engine answered with status {}", response.status());
                flow.reject_attempt(&attempt.grant, attempt.guard, &reason)?;
                continue;
            }
            Err(reason) => reason,
        };
        flow.fail_attempt(&attempt.grant, attempt.guard, &reason)
            .await?;
    }
}

/// Whether the request itself is at fault, so that every other engine would refuse it as well.
fn is_client_fault(status: StatusCode) -> bool {
    let retryable_statuses = [
        StatusCode::NOT_FOUND,
        StatusCode::REQUEST_TIMEOUT,
        StatusCode::CONFLICT,
        StatusCode::TOO_MANY_REQUESTS,
    ];
    status.is_client_error() && !retryable_statuses.contains(&status)
}

/// Forwards an engine's refusal to the client. Returns `None` if the refusal was incomplete and the
/// request may be retried.
async fn forward_refusal(
    flow: &mut RequestFlow,
    attempt: OpenAttempt,
    response: Response<Incoming>,
) -> Result<Option<Response<ResponseBody>>, FlowEnd> {
    let status = response.status().as_u16();
    let limit = flow.state.settings.max_response_bytes;
    match read_complete(&Method::POST, &attempt.link, response, limit).await {
        Ok(bytes) => {
            attempt.guard.finish(AttemptOutcome::Completed {
                status,
                response: None,
                cached_tokens: None,
            });
            let text = String::from_utf8_lossy(&bytes).into_owned();
            Ok(Some(text_response(status, "application/json", text)))
        }
        Err(reason) => {
            flow.fail_attempt(&attempt.grant, attempt.guard, &reason)
                .await?;
            Ok(None)
        }
    }
}
