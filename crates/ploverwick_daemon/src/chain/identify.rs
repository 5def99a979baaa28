//! Finds out who calls.

use http::HeaderMap;
use http::header::AUTHORIZATION;
use ploverwick_codes::Code;
use ploverwick_codes::attempt::Verdict;
use ploverwick_names::Caller;
use ploverwick_settings::Access;

use super::refuse;

const ANONYMOUS: &str = "anonymous";
const SCHEME: &str = "Bearer ";

/// Finds the caller whose token a request carries.
///
/// # Errors
/// Refuses a token that is not listed, and a missing one unless anonymous callers are taken.
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
        .find(|caller| same(caller.token.as_bytes(), token));
    match known {
        Some(caller) => Ok(caller.name.clone()),
        None => Err(refuse(Code::CallerUnknown, "the token is not listed")),
    }
}

/// Compares without stopping at the first difference, so that time does not tell a token.
fn same(a: &[u8], b: &[u8]) -> bool {
    let differences = a.iter().zip(b).fold(0, |sum, (x, y)| sum | (x ^ y));
    a.len() == b.len() && differences == 0
}
