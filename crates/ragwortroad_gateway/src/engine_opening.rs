//! Attempts at engines until an answer begins well.

use bytes::Bytes;
use hyper::{
    Method,
    Response,
    StatusCode,
    body::Incoming, //
};

use crate::{
    AttemptOutcome,
    answer_check::{
        check_owner,
        read_whole, //
    },
    engine_request::engine_request,
    reply_body::ReplyBody,
    reply_maker::text_reply,
    request_flow::{
        FlowEnd,
        OpenAttempt,
        RequestFlow, //
    }, //
};

/// What an engine said in its answer's head.
pub(crate) enum EngineAnswer {
    /// The answer follows.
    Good(Box<GoodAnswer>),
    /// The engine refused the request itself, for example as malformed.
    Refusal(Response<ReplyBody>),
}

/// An answer that began well, with the attempt that it belongs to.
pub(crate) struct GoodAnswer {
    pub(crate) attempt: OpenAttempt,
    pub(crate) answer: Response<Incoming>,
}

/// Opens attempts until an engine's answer begins well.
pub(crate) async fn open_engine(
    flow: &mut RequestFlow,
    body: &Bytes,
) -> Result<EngineAnswer, FlowEnd> {
    loop {
        let mut attempt = flow.open().await?;
        let context = flow.context.clone();
        let make = |grant: &crate::AdmitGrant, attempt: u32| {
            engine_request(&context, grant, attempt, body.clone())
        };
        let must_echo = flow.state.settings.require_request_id_echo;
        let answer = flow.exchange(&mut attempt, make).await;
        let answer = answer.and_then(|answer| {
            check_owner(&answer, context.request, must_echo)?;
            Ok(answer)
        });
        let why = match answer {
            Ok(answer) if answer.status() == StatusCode::OK => {
                return Ok(EngineAnswer::Good(Box::new(GoodAnswer { attempt, answer })));
            }
            Ok(answer) if is_callers_fault(answer.status()) => {
                match pass_refusal(flow, attempt, answer).await? {
                    Some(reply) => return Ok(EngineAnswer::Refusal(reply)),
                    None => continue,
                }
            }
            Ok(answer) => format!("the engine answered with status {}", answer.status()),
            Err(why) => why,
        };
        flow.broken(&attempt.grant, attempt.guard, &why)?;
    }
}

/// Whether another engine would refuse the request as well.
fn is_callers_fault(status: StatusCode) -> bool {
    let elsewhere = [
        StatusCode::NOT_FOUND,
        StatusCode::REQUEST_TIMEOUT,
        StatusCode::CONFLICT,
        StatusCode::TOO_MANY_REQUESTS,
    ];
    status.is_client_error() && !elsewhere.contains(&status)
}

/// Hands an engine's own refusal to the caller, or nothing where the refusal broke off.
async fn pass_refusal(
    flow: &mut RequestFlow,
    attempt: OpenAttempt,
    answer: Response<Incoming>,
) -> Result<Option<Response<ReplyBody>>, FlowEnd> {
    let status = answer.status().as_u16();
    let limit = flow.state.settings.max_response_bytes;
    match read_whole(&Method::POST, answer, limit).await {
        Ok(bytes) => {
            attempt.guard.finish(AttemptOutcome::Completed {
                status,
                response: None,
                cached_tokens: None,
            });
            let text = String::from_utf8_lossy(&bytes).into_owned();
            Ok(Some(text_reply(status, "application/json", text)))
        }
        Err(why) => {
            flow.broken(&attempt.grant, attempt.guard, &why)?;
            Ok(None)
        }
    }
}
