//! Stand-in of the platform: table service, object store and instance list in one server. Input:
//! HTTP requests and faults. State: tables, objects and instances, in memory. It commits a
//! transaction if all its checks hold.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use bytes::Bytes;
use eyre::Result;
use hooktrestle_schema::Instance;
use hooktrestle_schema::InstanceState;
use hooktrestle_schema::RowCheck;
use hooktrestle_schema::TableRow;
use hooktrestle_schema::TableRows;
use hooktrestle_schema::Transaction;
use hooktrestle_schema::TransactionAnswer;
use serde::Deserialize;
use serde::Serialize;
use serde_json::Value;
use warp::Filter;
use warp::Reply;
use warp::http::StatusCode;
use warp::reply::Response;

use crate::serve::ServerHandle;
use crate::serve::serve;

/// Largest request body.
const BODY_LIMIT_BYTES: u64 = 64 << 20;

/// Faults that the platform simulates.
#[derive(Clone, Copy, Debug, Default, Deserialize, Serialize)]
#[serde(default)]
pub struct Faults {
    /// Every call of the table service and the object store fails at once.
    pub down: bool,
    /// Every read of the instance list fails at once.
    pub list_down: bool,
    /// Delay of every answer of the table service and the object store.
    pub delay_ms: u64,
    /// Number of next transactions that take effect, but whose answers are lost.
    pub lose_answers: u32,
    /// Number of next transactions that are lost before they take effect.
    pub lose_requests: u32,
}

#[derive(Debug, Default)]
struct State {
    revision: u64,
    tables: BTreeMap<String, BTreeMap<String, TableRow>>,
    objects: BTreeMap<String, Bytes>,
    instances: BTreeMap<String, Instance>,
    list_changes: u64,
    faults: Faults,
    reads: u64,
    writes: u64,
}

/// Handle of the platform, which stops when the last handle is dropped.
#[derive(Clone, Debug)]
pub struct FakePlatform {
    state: Arc<Mutex<State>>,
    server: Arc<ServerHandle>,
}

#[derive(Debug, Deserialize)]
struct Since {
    #[serde(default)]
    since: u64,
}

impl FakePlatform {
    /// Starts a platform; port 0 picks a free port.
    ///
    /// # Errors
    ///
    /// The address cannot be bound.
    pub async fn start(listen: SocketAddr) -> Result<FakePlatform> {
        let state = Arc::new(Mutex::new(State::default()));
        let server = serve(listen, routes(Arc::clone(&state))).await?;
        Ok(FakePlatform { state, server: Arc::new(server) })
    }

    /// Base URL of the table service and the object store.
    pub fn url(&self) -> String {
        format!("http://{}", self.server.address)
    }

    /// URL of the instance list.
    pub fn instances_url(&self) -> String {
        format!("{}/v1/instances", self.url())
    }

    /// Sets the faults from now on.
    pub fn set_faults(&self, faults: Faults) {
        lock(&self.state).faults = faults;
    }

    /// Adds an instance to the list, or replaces it.
    pub fn list_instance(&self, instance: Instance) {
        let mut state = lock(&self.state);
        state.list_changes += 1;
        state.instances.insert(instance.name.clone(), instance);
    }

    /// Marks an instance as leaving.
    pub fn set_leaving(&self, name: &str) {
        let mut state = lock(&self.state);
        state.list_changes += 1;
        if let Some(instance) = state.instances.get_mut(name) {
            instance.state = InstanceState::Leaving;
        }
    }

    /// Removes an instance from the list.
    pub fn remove_instance(&self, name: &str) {
        let mut state = lock(&self.state);
        state.list_changes += 1;
        state.instances.remove(name);
    }

    /// Reads and writes answered so far.
    pub fn counts(&self) -> (u64, u64) {
        let state = lock(&self.state);
        (state.reads, state.writes)
    }
}

fn lock(state: &Mutex<State>) -> MutexGuard<'_, State> {
    state.lock().unwrap_or_else(PoisonError::into_inner)
}

fn routes(
    state: Arc<Mutex<State>>,
) -> impl Filter<Extract = (Response,), Error = std::convert::Infallible> + Clone + Send + Sync + 'static
{
    let with_state = warp::any().map(move || Arc::clone(&state));
    let body = warp::body::content_length_limit(BODY_LIMIT_BYTES);
    let row = warp::get()
        .and(with_state.clone())
        .and(warp::path!("v1" / "tables" / String / "rows" / String))
        .then(|state, table: String, key: String| {
            answer(state, move |state| read_row(state, &table, &key))
        });
    let rows = warp::get()
        .and(with_state.clone())
        .and(warp::path!("v1" / "tables" / String / "rows"))
        .and(warp::query::<Since>())
        .then(|state, table: String, since: Since| {
            answer(state, move |state| read_rows(state, &table, since.since))
        });
    let transaction = warp::post()
        .and(with_state.clone())
        .and(warp::path!("v1" / "transactions"))
        .and(body)
        .and(warp::body::json())
        .then(transact);
    let put_object = warp::put()
        .and(with_state.clone())
        .and(warp::path("v1").and(warp::path("objects")).and(warp::path::tail()))
        .and(body)
        .and(warp::body::bytes())
        .then(|state, key: warp::path::Tail, bytes: Bytes| {
            answer(state, move |state| write_object(state, key.as_str(), bytes))
        });
    let get_object = warp::get()
        .and(with_state.clone())
        .and(warp::path("v1").and(warp::path("objects")).and(warp::path::tail()))
        .then(|state, key: warp::path::Tail| {
            answer(state, move |state| read_object(state, key.as_str()))
        });
    let instances = warp::get()
        .and(with_state.clone())
        .and(warp::path!("v1" / "instances"))
        .and(warp::header::optional::<String>("if-none-match"))
        .map(|state: Arc<Mutex<State>>, known: Option<String>| {
            read_instances(&lock(&state), known.as_deref())
        });
    let list = warp::post()
        .and(with_state.clone())
        .and(warp::path!("v1" / "instances"))
        .and(warp::body::json())
        .then(|state, instance: Instance| {
            answer(state, move |state| {
                state.list_changes += 1;
                state.instances.insert(instance.name.clone(), instance);
                StatusCode::NO_CONTENT.into_response()
            })
        });
    let faults = warp::post()
        .and(with_state)
        .and(warp::path!("fake" / "faults"))
        .and(warp::body::json())
        .map(|state: Arc<Mutex<State>>, faults: Faults| {
            lock(&state).faults = faults;
            StatusCode::NO_CONTENT.into_response()
        });
    row.or(rows)
        .unify()
        .or(transaction)
        .unify()
        .or(put_object)
        .unify()
        .or(get_object)
        .unify()
        .or(instances)
        .unify()
        .or(list)
        .unify()
        .or(faults)
        .unify()
        .recover(|_| async { Ok::<_, std::convert::Infallible>(StatusCode::BAD_REQUEST) })
        .map(Reply::into_response)
}

/// Answers a call after the configured delay, with an error while the platform is down.
async fn answer(state: Arc<Mutex<State>>, apply: impl FnOnce(&mut State) -> Response) -> Response {
    let faults = lock(&state).faults;
    tokio::time::sleep(Duration::from_millis(faults.delay_ms)).await;
    if faults.down {
        return StatusCode::SERVICE_UNAVAILABLE.into_response();
    }
    apply(&mut lock(&state))
}

fn read_row(state: &mut State, table: &str, key: &str) -> Response {
    state.reads += 1;
    match state.tables.get(table).and_then(|rows| rows.get(key)) {
        Some(row) if !row.value.is_null() => warp::reply::json(row).into_response(),
        _ => StatusCode::NOT_FOUND.into_response(),
    }
}

fn read_rows(state: &mut State, table: &str, since: u64) -> Response {
    state.reads += 1;
    let rows = state.tables.get(table).into_iter().flat_map(BTreeMap::values);
    let rows = rows.filter(|row| row.version > since).cloned().collect();
    warp::reply::json(&TableRows { revision: state.revision, rows }).into_response()
}

fn write_object(state: &mut State, key: &str, bytes: Bytes) -> Response {
    state.writes += 1;
    state.objects.insert(key.to_owned(), bytes);
    StatusCode::NO_CONTENT.into_response()
}

fn read_object(state: &mut State, key: &str) -> Response {
    state.reads += 1;
    match state.objects.get(key) {
        Some(bytes) => bytes.to_vec().into_response(),
        None => StatusCode::NOT_FOUND.into_response(),
    }
}

fn read_instances(state: &State, known: Option<&str>) -> Response {
    if state.faults.list_down {
        return StatusCode::SERVICE_UNAVAILABLE.into_response();
    }
    let tag = format!("\"{}\"", state.list_changes);
    if known == Some(&tag) {
        return StatusCode::NOT_MODIFIED.into_response();
    }
    let instances: Vec<&Instance> = state.instances.values().collect();
    warp::reply::with_header(warp::reply::json(&instances), "etag", tag).into_response()
}

async fn transact(state: Arc<Mutex<State>>, transaction: Transaction) -> Response {
    let lost_before = take_fault(&state, |faults| &mut faults.lose_requests);
    if lost_before {
        return StatusCode::GATEWAY_TIMEOUT.into_response();
    }
    let lost_after = take_fault(&state, |faults| &mut faults.lose_answers);
    let answered = answer(state, move |state| {
        state.writes += 1;
        warp::reply::json(&apply(state, transaction)).into_response()
    });
    let response = answered.await;
    if lost_after { StatusCode::GATEWAY_TIMEOUT.into_response() } else { response }
}

fn take_fault(state: &Mutex<State>, count: impl FnOnce(&mut Faults) -> &mut u32) -> bool {
    let mut state = lock(state);
    let count = count(&mut state.faults);
    let faulty = *count > 0;
    *count = count.saturating_sub(1);
    faulty
}

fn apply(state: &mut State, transaction: Transaction) -> TransactionAnswer {
    let conflicts: Vec<RowCheck> =
        transaction.checks.into_iter().filter_map(|check| failed_check(state, check)).collect();
    if !conflicts.is_empty() {
        return TransactionAnswer { committed: false, revision: state.revision, conflicts };
    }
    state.revision += 1;
    let version = state.revision;
    for write in transaction.writes {
        let row = TableRow { key: write.key.clone(), version, value: write.value };
        state.tables.entry(write.table).or_default().insert(write.key, row);
    }
    TransactionAnswer { committed: true, revision: version, conflicts }
}

/// Returns the check with the row's stored version if it fails. A deleted row has version 0.
fn failed_check(state: &State, check: RowCheck) -> Option<RowCheck> {
    let row = state.tables.get(&check.table).and_then(|rows| rows.get(&check.key));
    let version = match row {
        Some(TableRow { value: Value::Null, .. }) | None => 0,
        Some(row) => row.version,
    };
    if version == check.version { None } else { Some(RowCheck { version, ..check }) }
}
