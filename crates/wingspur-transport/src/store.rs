//! A client of the platform's key-value service that uses the JSON gateway of etcd v3.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use futures_lite::FutureExt;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use serde::{Deserialize, Serialize};

use crate::{HttpClient, HttpClientError};

/// Reads, writes and watches the platform's key-value service.
#[derive(Debug, Clone)]
pub struct StoreClient {
    address: SocketAddr,
    http_client: Arc<HttpClient>,
    timeout: Duration,
}

/// A key with its value and the revision of its last change.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct KeyValue {
    /// The key.
    pub key: String,
    /// The value's bytes.
    pub value: Vec<u8>,
    /// The store's revision when it was last written.
    pub mod_revision: i64,
}

/// Result of a range read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RangeResult {
    /// The pairs, ordered by key.
    pub pairs: Vec<KeyValue>,
    /// The store's revision at the time of the read.
    pub revision: i64,
}

/// Outcome of a conditional write.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum WriteOutcome {
    /// The write took effect.
    Written,
    /// The condition did not hold, so nothing was written. Contains the current pair of
    /// the key, or `None` if the key does not exist.
    Refused(Option<KeyValue>),
}

/// Why a store call failed.
#[derive(Debug, thiserror::Error)]
pub enum StoreError {
    /// The store did not answer successfully; a write may have taken effect.
    #[error("the store call failed: {0}")]
    Unanswered(#[from] HttpClientError),
    /// The response cannot be decoded.
    #[error("the store's response cannot be decoded: {0}")]
    Unreadable(#[from] serde_json::Error),
    /// The value is larger than the store allows; contains its size in bytes.
    #[error("a value of {0} bytes is over the store's limit of {MAX_VALUE_BYTES}")]
    TooLarge(usize),
}

impl StoreClient {
    /// Creates a client of the store at `address`. Each call ends within `timeout`.
    pub fn new(
        address: SocketAddr,
        http_client: Arc<HttpClient>,
        timeout: Duration,
    ) -> Self {
        Self {
            address,
            http_client,
            timeout,
        }
    }

    /// The largest value that the store accepts, in bytes.
    pub const MAX_VALUE_BYTES: usize = MAX_VALUE_BYTES;

    /// Reads one key; `None` if it does not exist.
    pub async fn get(&self, key: &str) -> Result<Option<KeyValue>, StoreError> {
        let request = RangeRequest {
            key: encode(key),
            ..RangeRequest::default()
        };
        Ok(self.range(request).await?.pairs.pop())
    }

    /// Reads all keys that begin with a prefix.
    pub async fn get_prefix(&self, prefix: &str) -> Result<RangeResult, StoreError> {
        let range_end = Some(STANDARD.encode(end_of_prefix(prefix)));
        self.range(RangeRequest {
            key: encode(prefix),
            range_end,
        })
        .await
    }

    /// Writes a key if it was last written at revision `expected`; with 0, if it does not
    /// exist.
    ///
    /// Fails with `StoreError::TooLarge` when the value is over the store's limit.
    pub async fn put_if(
        &self,
        key: &str,
        value: &[u8],
        expected: i64,
    ) -> Result<WriteOutcome, StoreError> {
        self.put_when(&[(key, expected)], value).await
    }

    /// Writes a key if it does not exist and the guard key was last written at the
    /// guard's revision.
    ///
    /// Fails with `StoreError::TooLarge` when the value is over the store's limit.
    pub async fn put_if_guarded(
        &self,
        key: &str,
        value: &[u8],
        guard: (&str, i64),
    ) -> Result<WriteOutcome, StoreError> {
        self.put_when(&[(key, 0), guard], value).await
    }

    /// Writes the first key of `conditions` if each key in them was last written at the
    /// revision beside it.
    async fn put_when(
        &self,
        conditions: &[(&str, i64)],
        value: &[u8],
    ) -> Result<WriteOutcome, StoreError> {
        if value.len() > MAX_VALUE_BYTES {
            return Err(StoreError::TooLarge(value.len()));
        }
        let key = encode(conditions[0].0);
        let compare = |(key, revision): &(&str, i64)| Compare {
            key: encode(key),
            target: "MOD",
            result: "EQUAL",
            mod_revision: revision.to_string(),
        };
        let request = TxnRequest {
            compare: conditions.iter().map(compare).collect(),
            success: vec![RequestOp::put(&key, value)],
            failure: vec![RequestOp::range(&key)],
        };
        let response: TxnResponse = self.call("/v3/kv/txn", &request).await?;
        if response.succeeded {
            return Ok(WriteOutcome::Written);
        }
        let range = response
            .responses
            .into_iter()
            .find_map(|op| op.response_range);
        let current = range.and_then(|range| range.kvs.into_iter().next());
        Ok(WriteOutcome::Refused(
            current.map(KeyValue::try_from).transpose()?,
        ))
    }

    /// Deletes the keys from `from` (inclusive) to `to` (exclusive).
    pub async fn delete_range(&self, from: &str, to: &str) -> Result<(), StoreError> {
        let request = RangeRequest {
            key: encode(from),
            range_end: Some(encode(to)),
        };
        let _: serde_json::Value = self.call("/v3/kv/deleterange", &request).await?;
        Ok(())
    }

    /// Watches one key, starting with the changes at `from_revision`.
    pub async fn watch(
        &self,
        key: &str,
        from_revision: i64,
    ) -> Result<WatchStream, StoreError> {
        let create_request = WatchCreate {
            key: encode(key),
            start_revision: from_revision.to_string(),
        };
        let body = serde_json::to_vec(&WatchRequest { create_request })?;
        let opening =
            self.http_client
                .open_stream(self.address, "/v3/watch", body, self.timeout);
        Ok(WatchStream {
            body: opening.await?.into_body(),
            buffer: Vec::new(),
        })
    }

    async fn range(&self, request: RangeRequest) -> Result<RangeResult, StoreError> {
        let response: RangeResponse = self.call("/v3/kv/range", &request).await?;
        let pairs = response.kvs.into_iter().map(KeyValue::try_from);
        Ok(RangeResult {
            pairs: pairs.collect::<Result<_, _>>()?,
            revision: parse(&response.header.revision)?,
        })
    }

    async fn call<T: for<'de> Deserialize<'de>>(
        &self,
        path: &str,
        request: &impl Serialize,
    ) -> Result<T, StoreError> {
        let body = serde_json::to_vec(request)?;
        let response = self
            .http_client
            .post(self.address, path, body, self.timeout)
            .await?;
        Ok(serde_json::from_slice(&response)?)
    }
}

/// An open watch. It ends when it is dropped.
#[derive(Debug)]
pub struct WatchStream {
    body: Incoming,
    buffer: Vec<u8>,
}

impl WatchStream {
    /// Waits at most `timeout` for the next changes; `None` if there were none. A message
    /// without changes gives an empty list.
    ///
    /// An error means that the watch was lost or that the store has compacted its
    /// revision away. Then the key must be read again and a new watch opened.
    pub async fn next(
        &mut self,
        timeout: Duration,
    ) -> Result<Option<Vec<KeyValue>>, StoreError> {
        let waiting = async { self.next_message().await.map(Some) };
        let expired = async {
            wingspur_clock::sleep(timeout).await;
            Ok(None)
        };
        let Some(message) = waiting.or(expired).await? else {
            return Ok(None);
        };
        if message.result.canceled || message.result.compact_revision.is_some() {
            return Err(HttpClientError::Reply.into());
        }
        let events = message.result.events.into_iter();
        let pairs = events.map(|event| KeyValue::try_from(event.kv));
        Ok(Some(pairs.collect::<Result<_, _>>()?))
    }

    async fn next_message(&mut self) -> Result<WatchMessage, StoreError> {
        loop {
            if let Some(end) = self.buffer.iter().position(|&byte| byte == b'\n') {
                let line: Vec<u8> = self.buffer.drain(..=end).collect();
                return Ok(serde_json::from_slice(&line)?);
            }
            match self.body.frame().await {
                Some(Ok(frame)) => {
                    let data = frame.into_data().unwrap_or_default();
                    self.buffer.extend_from_slice(&data);
                }
                Some(Err(error)) => return Err(HttpClientError::Http(error).into()),
                None => return Err(HttpClientError::Reply.into()),
            }
        }
    }
}

#[derive(Serialize, Default)]
struct RangeRequest {
    key: String,
    #[serde(skip_serializing_if = "Option::is_none")]
    range_end: Option<String>,
}

#[derive(Deserialize)]
struct RangeResponse {
    header: Header,
    #[serde(default)]
    kvs: Vec<RawPair>,
}

#[derive(Deserialize)]
struct Header {
    revision: String,
}

#[derive(Deserialize, Default)]
struct RawPair {
    key: String,
    #[serde(default)]
    value: String,
    #[serde(default)]
    mod_revision: String,
}

#[derive(Serialize)]
struct TxnRequest {
    compare: Vec<Compare>,
    success: Vec<RequestOp>,
    failure: Vec<RequestOp>,
}

#[derive(Serialize)]
struct Compare {
    key: String,
    target: &'static str,
    result: &'static str,
    mod_revision: String,
}

#[derive(Serialize)]
#[serde(rename_all = "camelCase")]
struct RequestOp {
    #[serde(skip_serializing_if = "Option::is_none")]
    request_put: Option<PutRequest>,
    #[serde(skip_serializing_if = "Option::is_none")]
    request_range: Option<RangeRequest>,
}

impl RequestOp {
    fn put(key: &str, value: &[u8]) -> Self {
        let put = PutRequest {
            key: key.to_owned(),
            value: STANDARD.encode(value),
        };
        Self {
            request_put: Some(put),
            request_range: None,
        }
    }

    fn range(key: &str) -> Self {
        let range = RangeRequest {
            key: key.to_owned(),
            range_end: None,
        };
        Self {
            request_put: None,
            request_range: Some(range),
        }
    }
}

#[derive(Serialize)]
struct PutRequest {
    key: String,
    value: String,
}

#[derive(Deserialize)]
struct TxnResponse {
    #[serde(default)]
    succeeded: bool,
    #[serde(default)]
    responses: Vec<ResponseOp>,
}

#[derive(Deserialize)]
struct ResponseOp {
    response_range: Option<RangeResponseOp>,
}

#[derive(Deserialize)]
struct RangeResponseOp {
    #[serde(default)]
    kvs: Vec<RawPair>,
}

#[derive(Serialize)]
struct WatchRequest {
    create_request: WatchCreate,
}

#[derive(Serialize)]
struct WatchCreate {
    key: String,
    start_revision: String,
}

#[derive(Deserialize)]
struct WatchMessage {
    result: WatchResult,
}

#[derive(Deserialize)]
struct WatchResult {
    #[serde(default)]
    canceled: bool,
    compact_revision: Option<String>,
    #[serde(default)]
    events: Vec<WatchEvent>,
}

#[derive(Deserialize)]
struct WatchEvent {
    kv: RawPair,
}

impl TryFrom<RawPair> for KeyValue {
    type Error = StoreError;

    fn try_from(raw: RawPair) -> Result<Self, StoreError> {
        let key = String::from_utf8(decode(&raw.key)?).map_err(unreadable)?;
        let mod_revision = match raw.mod_revision.as_str() {
            "" => 0,
            text => parse(text)?,
        };
        Ok(Self {
            key,
            value: decode(&raw.value)?,
            mod_revision,
        })
    }
}

fn encode(key: &str) -> String {
    STANDARD.encode(key)
}

fn decode(text: &str) -> Result<Vec<u8>, StoreError> {
    STANDARD.decode(text).map_err(unreadable)
}

fn parse(text: &str) -> Result<i64, StoreError> {
    text.parse().map_err(unreadable)
}

fn unreadable(error: impl std::fmt::Display) -> StoreError {
    StoreError::Unreadable(serde::de::Error::custom(error))
}

/// Returns the first key after all that begin with the prefix, or `[0]`, which means the
/// end of all keys, if there is no such key.
fn end_of_prefix(prefix: &str) -> Vec<u8> {
    let mut end = prefix.as_bytes().to_vec();
    while let Some(last) = end.pop() {
        if last < u8::MAX {
            end.push(last + 1);
            return end;
        }
    }
    vec![0]
}

/// The store's limit for a value.
const MAX_VALUE_BYTES: usize = 1 << 20;
