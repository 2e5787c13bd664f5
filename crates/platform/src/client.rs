//! HTTP client of the platform's services.
//! Input: calls to read and write rows, objects and the instance list. State: an HTTP client.
//! Decides whether a transaction whose answer was lost took effect.

use std::time::Duration;

use hooktrestle_core::direct::answer_heads;
use hooktrestle_schema::Instance;
use hooktrestle_schema::RowCheck;
use hooktrestle_schema::RowWrite;
use hooktrestle_schema::TableRow;
use hooktrestle_schema::TableRows;
use hooktrestle_schema::Transaction;
use hooktrestle_schema::TransactionAnswer;
use rand::RngExt;
use reqwest::RequestBuilder;
use reqwest::Response;
use reqwest::StatusCode;
use reqwest::header::ETAG;
use reqwest::header::IF_NONE_MATCH;
use serde::de::DeserializeOwned;
use serde_json::Value;

use crate::error::Error;

/// Table with one row for each transaction, by operation id, from which the outcome of a
/// transaction is determined if its answer was lost.
pub const OPERATIONS_TABLE: &str = "operations";

/// Maximum number of attempts to determine the outcome of a transaction before its call fails.
const RESOLVE_ATTEMPTS: u32 = 5;

/// Delay after the first of these attempts; it doubles after each one.
const INITIAL_RESOLVE_DELAY: Duration = Duration::from_millis(50);

/// Addresses of the platform's services, and the timeout of calls.
#[derive(Clone, Debug)]
pub struct Config {
    /// Base URL of the table service.
    pub table_url: String,
    /// Base URL of the object store.
    pub object_url: String,
    /// URL of the instance list.
    pub instances_url: String,
    /// Timeout for one answer.
    pub timeout: Duration,
}

/// A transaction that took effect.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Committed {
    /// Revision of its writes; 0 if the answer was lost and only the outcome was determined.
    pub revision: u64,
}

/// Result of a query for the instance list.
#[derive(Clone, Debug, PartialEq)]
pub enum Listing {
    /// The list is the one that the caller already has.
    Unchanged,
    /// A new list.
    Changed {
        /// All instances.
        instances: Vec<Instance>,
        /// Tag of this version of the list, if the service returns one.
        tag: Option<String>,
    },
}

/// Client of the platform's services.
#[derive(Clone, Debug)]
pub struct Platform {
    config: Config,
    http: reqwest::Client,
}

impl Platform {
    /// A client that connects on first use.
    ///
    /// # Errors
    ///
    /// The HTTP client cannot be set up.
    pub fn new(config: Config) -> Result<Platform, Error> {
        let http = reqwest::Client::builder()
            .timeout(config.timeout)
            .no_proxy()
            .build()
            .map_err(|error| Error::unreachable("HTTP client", error))?;
        Ok(Platform { config, http })
    }

    /// Reads one row; `None` if it does not exist. Checks refer to such a row by version 0.
    ///
    /// # Errors
    ///
    /// An outage or a malformed answer.
    pub async fn row(&self, table: &str, key: &str) -> Result<Option<TableRow>, Error> {
        let what = format!("row {table}/{key}");
        let url = format!("{}/v1/tables/{table}/rows/{key}", self.config.table_url);
        let answer = self.get(&what, &url).await?;
        match answer {
            None => Ok(None),
            Some(response) => Ok(Some(decode(&what, response).await?)),
        }
    }

    /// Reads all rows of a table that were written after revision `since`. Deleted rows have a null
    /// value.
    ///
    /// # Errors
    ///
    /// An outage or a malformed answer.
    pub async fn rows(&self, table: &str, since: u64) -> Result<TableRows, Error> {
        let what = format!("table {table}");
        let url = format!("{}/v1/tables/{table}/rows?since={since}", self.config.table_url);
        match self.get(&what, &url).await? {
            None => Err(Error::refused(&what, 404)),
            Some(response) => decode(&what, response).await,
        }
    }

    /// Runs a transaction and determines its outcome.
    ///
    /// The transaction also writes a row whose key is a new operation id, and checks that this row
    /// does not exist yet. If the answer is lost, a second transaction writes that row alone. If
    /// the row exists, the first transaction took effect. Otherwise the row exists from now on, so
    /// the first transaction, if it is still in progress, fails its check.
    ///
    /// # Errors
    ///
    /// A conflict, after which nothing took effect, or an outage. The outcome is unknown only if
    /// the outage outlasted all attempts to determine it.
    pub async fn transact(
        &self,
        checks: Vec<RowCheck>,
        writes: Vec<RowWrite>,
    ) -> Result<Committed, Error> {
        let id = format!("{:032x}", rand::rng().random::<u128>());
        let guard = operation_guard(&id);
        let mut all_checks = checks;
        all_checks.push(guard.0.clone());
        let mut all_writes = writes;
        all_writes.push(guard.1);
        match self.send(Transaction { checks: all_checks, writes: all_writes }).await {
            Ok(answer) if answer.committed => Ok(Committed { revision: answer.revision }),
            Ok(answer) => Err(Error::conflict("transaction", answer.conflicts)),
            Err(error) if error.is_outage() => self.resolve_outcome(&id, error).await,
            Err(error) => Err(error),
        }
    }

    /// Writes an object.
    ///
    /// # Errors
    ///
    /// An outage.
    pub async fn put_object(&self, key: &str, bytes: Vec<u8>) -> Result<(), Error> {
        let what = format!("object {key}");
        let url = format!("{}/v1/objects/{key}", self.config.object_url);
        let response = call(&what, self.http.put(url).body(bytes)).await?;
        require(&what, response.status())
    }

    /// Reads an object; `None` if it does not exist.
    ///
    /// # Errors
    ///
    /// An outage.
    pub async fn object(&self, key: &str) -> Result<Option<Vec<u8>>, Error> {
        let what = format!("object {key}");
        let url = format!("{}/v1/objects/{key}", self.config.object_url);
        match self.get(&what, &url).await? {
            None => Ok(None),
            Some(response) => {
                let bytes = response.bytes().await;
                let bytes = bytes.map_err(|error| Error::unreachable(&what, error))?;
                Ok(Some(bytes.to_vec()))
            }
        }
    }

    /// Reads the instance list, which may be out of date. `known_tag` is the tag of the list that
    /// the caller has; an unchanged list is not sent again.
    ///
    /// # Errors
    ///
    /// An outage or a malformed answer.
    pub async fn instances(&self, known_tag: Option<&str>) -> Result<Listing, Error> {
        let what = "instance list";
        let mut request = self.http.get(&self.config.instances_url);
        if let Some(tag) = known_tag {
            request = request.header(IF_NONE_MATCH, tag);
        }
        let response = call(what, request).await?;
        if response.status() == StatusCode::NOT_MODIFIED {
            return Ok(Listing::Unchanged);
        }
        require(what, response.status())?;
        let tag = response.headers().get(ETAG).and_then(|tag| tag.to_str().ok());
        let tag = tag.map(str::to_owned);
        Ok(Listing::Changed { instances: decode(what, response).await?, tag })
    }

    async fn resolve_outcome(&self, id: &str, lost: Error) -> Result<Committed, Error> {
        let mut wait = INITIAL_RESOLVE_DELAY;
        for _ in 0..RESOLVE_ATTEMPTS {
            let (check, write) = operation_guard(id);
            match self.send(Transaction { checks: vec![check], writes: vec![write] }).await {
                Ok(answer) if answer.committed => return Err(lost),
                Ok(_) => return Ok(Committed { revision: 0 }),
                Err(_) => tokio::time::sleep(wait).await,
            }
            wait *= 2;
        }
        Err(Error::outcome_unknown("transaction"))
    }

    async fn send(&self, transaction: Transaction) -> Result<TransactionAnswer, Error> {
        let what = "transaction";
        let url = format!("{}/v1/transactions", self.config.table_url);
        let response = call(what, self.http.post(url).json(&transaction)).await?;
        require(what, response.status())?;
        decode(what, response).await
    }

    async fn get(&self, what: &str, url: &str) -> Result<Option<Response>, Error> {
        let response = call(what, self.http.get(url)).await?;
        if response.status() == StatusCode::NOT_FOUND {
            return Ok(None);
        }
        require(what, response.status())?;
        Ok(Some(response))
    }
}

/// Sends a call. An answer with a malformed head shows no more than none does.
async fn call(what: &str, request: RequestBuilder) -> Result<Response, Error> {
    let sent = request.send().await;
    let response = sent.map_err(|error| Error::unreachable(what, error))?;
    let is_length_known = response.content_length().is_some();
    answer_heads::framing(response.status(), response.headers(), is_length_known)
        .map_err(|fault| Error::malformed_head(what, fault))?;
    Ok(response)
}

fn operation_guard(id: &str) -> (RowCheck, RowWrite) {
    let table = OPERATIONS_TABLE.to_owned();
    let check = RowCheck { table: table.clone(), key: id.to_owned(), version: 0 };
    (check, RowWrite { table, key: id.to_owned(), value: Value::Bool(true) })
}

fn require(what: &str, status: StatusCode) -> Result<(), Error> {
    if status.is_success() { Ok(()) } else { Err(Error::refused(what, status.as_u16())) }
}

async fn decode<T: DeserializeOwned>(what: &str, response: Response) -> Result<T, Error> {
    let bytes = response.bytes().await.map_err(|error| Error::unreachable(what, error))?;
    serde_json::from_slice(&bytes).map_err(|error| Error::malformed(what, error))
}
