//! HTTP client of a caller, as docs/CALLERS.md describes one. Input: a gateway's URL and the key of
//! a client account. State: the HTTP connections. Classifies each response as complete, refused or
//! truncated.

use std::time::Duration;

use eyre::Result;
use reqwest::RequestBuilder;
use reqwest::Response;
use serde_json::Value;
use serde_json::json;

/// A caller with a client account's key, at one gateway.
#[derive(Clone, Debug)]
pub struct Caller {
    http: reqwest::Client,
    url: String,
    key: String,
}

/// Outcome of a call.
#[derive(Clone, Debug, PartialEq)]
pub enum Outcome {
    /// The complete answer.
    Whole(String),
    /// Refused or failed before any part of the answer was received.
    Refused {
        /// HTTP status.
        status: u16,
        /// `not-run`, `may-have-run` or `ran`.
        verdict: String,
        /// Cause of the refusal.
        cause: String,
        /// Time after which to retry, if the refusal has one.
        retry_after_ms: Option<u64>,
    },
    /// The part of a truncated answer that was received.
    Truncated(String),
}

impl Outcome {
    /// The verdict of a refusal.
    pub fn verdict(&self) -> Option<&str> {
        match self {
            Outcome::Refused { verdict, .. } => Some(verdict),
            Outcome::Whole(_) | Outcome::Truncated(_) => None,
        }
    }
}

impl Caller {
    /// A caller at the gateway with this base URL.
    ///
    /// # Errors
    ///
    /// The HTTP client cannot be set up.
    pub fn new(url: &str, key: &str) -> Result<Caller> {
        let http =
            reqwest::Client::builder().no_proxy().timeout(Duration::from_secs(60)).build()?;
        Ok(Caller { http, url: url.to_owned(), key: key.to_owned() })
    }

    /// A chat call whose prompt is `marker`.
    pub fn chat(&self, service: &str, marker: &str, tokens: u64, stream: bool) -> RequestBuilder {
        let message = json!({ "role": "user", "content": marker });
        let body = json!({
            "model": service, "messages": [message], "max_tokens": tokens, "stream": stream,
        });
        self.post("/v1/chat/completions").json(&body)
    }

    /// A call to a plain service.
    pub fn plain(&self, service: &str, path: &str, body: String) -> RequestBuilder {
        self.post(&format!("/services/{service}/{path}")).body(body)
    }

    /// Gets a request key, under which a call to the service runs at most once.
    ///
    /// # Errors
    ///
    /// The gateway does not issue a key.
    pub async fn request_key(&self, service: &str) -> Result<String> {
        let answer = self.post(&format!("/v1/tickets?service={service}")).send().await?;
        let value: Value = answer.error_for_status()?.json().await?;
        Ok(value["request_key"].as_str().unwrap_or_default().to_owned())
    }

    /// Any other GET.
    pub fn get(&self, path: &str) -> RequestBuilder {
        self.http.get(format!("{}{path}", self.url)).bearer_auth(&self.key)
    }

    /// Any other POST.
    pub fn post(&self, path: &str) -> RequestBuilder {
        self.http.post(format!("{}{path}", self.url)).bearer_auth(&self.key)
    }
}

/// Sends a call and reads the complete response.
///
/// # Errors
///
/// The gateway cannot be reached, or a refusal is not in the documented form.
pub async fn finish(call: RequestBuilder) -> Result<Outcome> {
    read(call.send().await?).await
}

/// Reads the response to a call.
///
/// # Errors
///
/// A refusal that is not in the documented form.
pub async fn read(mut response: Response) -> Result<Outcome> {
    let header = |response: &Response, name: &str| {
        response.headers().get(name).and_then(|value| value.to_str().ok()).map(str::to_owned)
    };
    if let Some(verdict) = header(&response, "x-hooktrestle-verdict") {
        let status = response.status().as_u16();
        let body: Value = response.json().await?;
        return Ok(Outcome::Refused {
            status,
            verdict,
            cause: body["cause"].as_str().unwrap_or_default().to_owned(),
            retry_after_ms: body["retry_after_ms"].as_u64(),
        });
    }
    let mut text = String::new();
    loop {
        match response.chunk().await {
            Ok(Some(chunk)) => text.push_str(&String::from_utf8_lossy(&chunk)),
            Ok(None) => return Ok(Outcome::Whole(text)),
            Err(_) => return Ok(Outcome::Truncated(text)),
        }
    }
}
