//! Authentication of callers.

use http::HeaderMap;
use http::header::AUTHORIZATION;
use ploverwick_codes::Code;
use ploverwick_codes::attempt::Verdict;
use ploverwick_names::Caller;
use ploverwick_settings::Access;

use super::refuse;

const ANONYMOUS: &str = "anonymous";
const SCHEME: &str = "Bearer ";

/// Returns the caller to whom a request's bearer token belongs.
///
/// # Errors
/// Refuses unknown tokens, and missing ones unless anonymous callers are permitted.
pub(crate) fn identify(access: &Access, headers: &HeaderMap) -> Result<Caller, Verdict> {
    let given = headers.get(AUTHORIZATION).map(http::HeaderValue::as_bytes);
    let token = given.and_then(|value| value.strip_prefix(SCHEME.as_bytes()));
    let Some(token) = token else {
        if access.anonymous && given.is_none() {
            return Ok(Caller::new(ANONYMOUS).expect("the constant is a name"));
        }
        return Err(refuse(Code::CallerUnknown, "no bearer token"));
    };
    let known = access
        .callers
        .iter()
        .find(|caller| constant_time_eq(caller.token.as_bytes(), token));
    match known {
        Some(caller) => Ok(caller.name.clone()),
        None => Err(refuse(Code::CallerUnknown, "the token is not listed")),
    }
}

/// Compares all bytes, so that the duration does not reveal how much of a token matches.
fn constant_time_eq(a: &[u8], b: &[u8]) -> bool {
    let differences = a.iter().zip(b).fold(0, |sum, (x, y)| sum | (x ^ y));
    a.len() == b.len() && differences == 0
}
