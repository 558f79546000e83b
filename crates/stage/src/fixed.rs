//! An upstream that answers at once and tells the same load whatever it has, and a bare pass-through to such ones: what
//! a sidecar costs is measured against that.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::client::conn::http1::SendRequest;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinHandle;
use tokio::time::sleep;

/// The wait after a failed accept.
const BACK_OFF: Duration = Duration::from_millis(10);

/// A listener whose connections are served until this is dropped.
pub struct Server {
    /// Where it listens.
    pub address: SocketAddr,
    task: JoinHandle<()>,
}

impl Drop for Server {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Serves each connection with a function, one request at a time.
async fn serve<F, A>(answer: F) -> std::io::Result<Server>
where
    F: Fn(Request<Incoming>) -> A + Clone + Send + Sync + 'static,
    A: Future<Output = Response<Full<Bytes>>> + Send + 'static,
{
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let address = listener.local_addr()?;
    let task = tokio::spawn(async move {
        loop {
            let Ok((stream, _)) = listener.accept().await else {
                sleep(BACK_OFF).await;
                continue;
            };
            let _ = stream.set_nodelay(true);
            let answer = answer.clone();
            tokio::spawn(async move {
                let service = service_fn(|request| {
                    let answered = answer(request);
                    async move { Ok::<_, Infallible>(answered.await) }
                });
                // How it ends shows at the other end.
                let _ = http1::Builder::new().serve_connection(TokioIo::new(stream), service).await;
            });
        }
    });
    Ok(Server { address, task })
}

/// An upstream with this load report; without one, probes are answered 404.
pub async fn upstream(report: Option<&'static str>) -> std::io::Result<Server> {
    serve(move |request: Request<Incoming>| async move {
        if request.uri().path() == "/metrics/load" {
            return match report {
                Some(report) => Response::new(Full::new(Bytes::from_static(report.as_bytes()))),
                None => status(StatusCode::NOT_FOUND),
            };
        }
        let id = request.headers().get("x-request-id").and_then(|id| id.to_str().ok()).map(str::to_owned);
        let whole = request.into_body().collect().await.is_ok();
        match id {
            Some(id) if whole => Response::new(Full::new(Bytes::from(format!("ran {id}")))),
            _ => status(StatusCode::BAD_REQUEST),
        }
    })
    .await
}

fn status(status: StatusCode) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(Bytes::new()));
    *response.status_mut() = status;
    response
}

/// Passes each request on to the next of these upstreams, over connections that are kept, and decides nothing.
pub async fn pass_through(upstreams: Vec<SocketAddr>) -> std::io::Result<Server> {
    let pools: Arc<Vec<Pool>> = Arc::new(upstreams.into_iter().map(Pool::to).collect());
    let next = Arc::new(std::sync::atomic::AtomicUsize::new(0));
    serve(move |request: Request<Incoming>| {
        let (pools, next) = (pools.clone(), next.clone());
        async move {
            let (head, body) = request.into_parts();
            let Ok(body) = body.collect().await else { return status(StatusCode::BAD_REQUEST) };
            let request = Request::from_parts(head, Full::new(body.to_bytes()));
            let at = next.fetch_add(1, std::sync::atomic::Ordering::Relaxed) % pools.len();
            pools[at].exchange(request).await.unwrap_or_else(|| status(StatusCode::BAD_GATEWAY))
        }
    })
    .await
}

struct Pool {
    address: SocketAddr,
    idle: Mutex<Vec<SendRequest<Full<Bytes>>>>,
}

impl Pool {
    fn to(address: SocketAddr) -> Pool {
        Pool { address, idle: Mutex::default() }
    }

    fn idle(&self) -> std::sync::MutexGuard<'_, Vec<SendRequest<Full<Bytes>>>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn exchange(&self, request: Request<Full<Bytes>>) -> Option<Response<Full<Bytes>>> {
        let kept = self.idle().pop();
        let mut sender = match kept {
            Some(sender) => sender,
            None => {
                let stream = TcpStream::connect(self.address).await.ok()?;
                let _ = stream.set_nodelay(true);
                let handshake = hyper::client::conn::http1::handshake(TokioIo::new(stream));
                let (sender, connection) = handshake.await.ok()?;
                tokio::spawn(connection);
                sender
            }
        };
        let (head, body) = sender.send_request(request).await.ok()?.into_parts();
        let body = body.collect().await.ok()?.to_bytes();
        if sender.ready().await.is_ok() {
            self.idle().push(sender);
        }
        Some(Response::from_parts(head, Full::new(body)))
    }
}
