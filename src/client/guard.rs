//! Guards the program against its client connections: how many there are, how long and how much they may send,
//! and how long they may take to read. The same for every front, with TLS and without.
use axum::body::Body;
use axum::response::{IntoResponse, Response};
use axum::Router;
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::{Body as _, Incoming};
use hyper::header::{HeaderValue, CONNECTION, TRANSFER_ENCODING};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use std::collections::BTreeMap;
use std::convert::Infallible;
use std::future::Future;
use std::io;
use std::pin::{pin, Pin};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{ready, Context, Poll};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::sync::{watch, Notify};
use tokio::time::{sleep, timeout, Instant, Sleep};
use tower::ServiceExt;

/// What one front allows a client connection.
#[derive(Clone, Copy)]
pub struct Limits {
    /// For a head, the first and each next one: so long a connection may also stand idle.
    pub head_for: Duration,
    pub body_for: Duration,
    pub body_most: usize,
}

/// A head holds a dozen short lines.
const HEAD_MOST: usize = 16 * 1024;
const LINES_MOST: usize = 64;
/// Clients read at full speed. One that takes no answer for so long is gone.
const WRITE_FOR: Duration = Duration::from_secs(1);
/// Where all seats are taken: idle for so long, a connection may be closed; silent from its start for so long,
/// it is no client that has a request.
const IDLE_FOR: Duration = Duration::from_secs(2);
const SILENT_FOR: Duration = Duration::from_millis(100);
/// Share of the seats from which on answers end their connections.
const CROWDED: f64 = 0.75;
/// How soon a full house is looked through again.
const LOOK_AGAIN: Duration = Duration::from_millis(10);

/// All client connections of the process, over all fronts.
pub struct Seats {
    most: usize,
    taken: Mutex<(u64, BTreeMap<u64, Arc<Seat>>)>,
    freed: Notify,
}

/// One client connection, as the others see it.
struct Seat {
    use_: Mutex<(Use, Instant)>,
    head: Mutex<Head>,
    leave: Notify,
}

#[derive(Clone, Copy, PartialEq)]
enum Use {
    /// No whole head has come yet.
    Fresh,
    /// A request is under way.
    Open,
    /// Between requests.
    Idle,
    Leaving,
}

/// Frees its place when the connection ends.
pub struct Ticket {
    number: u64,
    seat: Arc<Seat>,
    seats: Arc<Seats>,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Seats {
    pub fn new(most: usize) -> Arc<Seats> {
        Arc::new(Seats { most: most.max(1), taken: Mutex::default(), freed: Notify::new() })
    }

    /// Waits for a free place. Guards the descriptors against clients that connect and say nothing: where none
    /// is free, one that stands idle for the time it is allowed makes way, then one that never said a word.
    pub async fn admit(self: &Arc<Seats>) -> Ticket {
        loop {
            if let Some(ticket) = self.take() {
                return ticket;
            }
            if let Some(seat) = self.idlest() {
                lock(&seat.use_).0 = Use::Leaving;
                seat.leave.notify_one();
            }
            let _ = timeout(LOOK_AGAIN, self.freed.notified()).await;
        }
    }

    fn take(self: &Arc<Seats>) -> Option<Ticket> {
        let mut taken = lock(&self.taken);
        if taken.1.len() >= self.most {
            return None;
        }
        taken.0 += 1;
        let (number, use_) = (taken.0, Mutex::new((Use::Fresh, Instant::now())));
        let seat = Arc::new(Seat { use_, head: Mutex::default(), leave: Notify::new() });
        taken.1.insert(number, seat.clone());
        Some(Ticket { number, seat, seats: self.clone() })
    }

    fn idlest(&self) -> Option<Arc<Seat>> {
        let taken = lock(&self.taken);
        let rank = |seat: &&Arc<Seat>| {
            let (use_, since) = *lock(&seat.use_);
            let allowed = match use_ {
                Use::Idle => IDLE_FOR,
                Use::Fresh => SILENT_FOR,
                Use::Open | Use::Leaving => return None,
            };
            (since.elapsed() >= allowed).then_some((use_ == Use::Fresh, since))
        };
        let ripe = taken.1.values().filter_map(|seat| Some((rank(&seat)?, seat)));
        ripe.min_by_key(|(rank, _)| *rank).map(|(_, seat)| seat.clone())
    }

    /// Whether idle connections would soon be in the way of new ones. They may not be closed for 2 s, but an
    /// answer may say that it is the last.
    fn crowded(&self) -> bool {
        lock(&self.taken).1.len() as f64 > self.most as f64 * CROWDED
    }

    /// Returns when no client connection is left.
    pub async fn empty(&self) {
        while !lock(&self.taken).1.is_empty() {
            self.freed.notified().await;
        }
    }
}

impl Drop for Ticket {
    fn drop(&mut self) {
        // The client went, or this process broke its word.
        if lock(&self.seat.use_).0 == Use::Open {
            log::debug!("client connection: ended under a request");
        }
        lock(&self.seats.taken).1.remove(&self.number);
        self.seats.freed.notify_one();
    }
}

impl Seat {
    fn turn(&self, to: Use) {
        let mut held = lock(&self.use_);
        if held.0 != Use::Leaving {
            *held = (to, Instant::now());
        }
    }
}

/// Serves one client connection until it ends, is closed or has to make way.
pub async fn converse(
    io: impl AsyncRead + AsyncWrite + Unpin, front: Router, limits: Limits, ticket: Ticket,
    mut closing: watch::Receiver<bool>,
) {
    let (seat, seats) = (&ticket.seat, &ticket.seats);
    let service = service_fn(|request| answer(request, front.clone(), limits, seat.clone(), seats.clone()));
    let io = TokioIo::new(Guarded { io, seat: seat.clone(), stalled: None });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.head_for)
        .max_buf_size(HEAD_MOST)
        .max_headers(LINES_MOST)
        .serve_connection(io, service);
    let mut connection = pin!(connection);
    let mut told = false;
    loop {
        tokio::select! {
            // First, or a request could begin between the word to leave and this: nothing is lost with one
            // that has none.
            biased;
            () = seat.leave.notified() => return,
            end = connection.as_mut() => {
                return if let Err(e) = end { log::debug!("client connection: {e}") };
            }
            _ = closing.wait_for(|c| *c), if !told => {
                told = true;
                connection.as_mut().graceful_shutdown();
            }
        }
    }
}

async fn answer(
    request: Request<Incoming>, front: Router, limits: Limits, seat: Arc<Seat>, seats: Arc<Seats>,
) -> Result<Response, Infallible> {
    seat.turn(Use::Open);
    let chunked = request.headers().contains_key(TRANSFER_ENCODING);
    let whole = if chunked && !lock(&seat.head).says_one_length() {
        Err(StatusCode::BAD_REQUEST)
    } else {
        take_in(request, limits).await
    };
    let (mut answer, size) = match whole {
        Ok((request, size)) => (front.oneshot(request).await.into_response(), Some(size)),
        Err(status) => (status.into_response(), None),
    };
    // Where a request ends is not sure, or what was not read of it lies in the way of the next one.
    if chunked || size.is_none() || seats.crowded() {
        answer.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    }
    lock(&seat.head).next(size.unwrap_or_default());
    seat.turn(Use::Idle);
    Ok(answer)
}

/// Waits for a whole body. One that is too long is answered without being kept, one without end not waited for.
async fn take_in(request: Request<Incoming>, limits: Limits) -> Result<(Request<Body>, usize), StatusCode> {
    let (head, body) = request.into_parts();
    if body.size_hint().lower() > limits.body_most as u64 {
        return Err(StatusCode::PAYLOAD_TOO_LARGE);
    }
    let body = Limited::new(body, limits.body_most).collect();
    let body = timeout(limits.body_for, body).await.map_err(|_| StatusCode::REQUEST_TIMEOUT)?;
    let body = body.map_err(|e| match e.is::<LengthLimitError>() {
        true => StatusCode::PAYLOAD_TOO_LARGE,
        false => StatusCode::BAD_REQUEST,
    })?;
    let body = body.to_bytes();
    let size = body.len();
    Ok((Request::from_parts(head, body.into()), size))
}

/// Reads heads along with hyper, which drops a `Content-Length` beside a `Transfer-Encoding` before anybody can
/// see it. Guards against a request hidden in the body of another.
#[derive(Default)]
struct Head {
    line: Vec<u8>,
    /// A line has come, one of them with a length.
    begun: bool,
    length: bool,
    done: bool,
    /// Bytes that came behind this head.
    behind: usize,
    /// Heads came in pieces that are not known.
    blurred: bool,
}

impl Head {
    const NAME_MOST: usize = 24;

    fn read(&mut self, bytes: &[u8]) {
        for (at, byte) in bytes.iter().enumerate() {
            if self.done {
                self.behind += bytes.len() - at;
                return;
            }
            match byte {
                b'\n' => self.end_line(),
                b'\r' => {}
                _ if self.line.len() < Head::NAME_MOST => self.line.push(byte.to_ascii_lowercase()),
                _ => {}
            }
        }
    }

    fn end_line(&mut self) {
        // Empty lines ahead of a head belong to none.
        self.done = self.begun && self.line.is_empty();
        self.begun |= !self.line.is_empty();
        self.length |= self.line.starts_with(b"content-length:");
        self.line.clear();
    }

    fn says_one_length(&self) -> bool {
        self.done && !self.blurred && !self.length
    }

    /// The request was answered, with a body of this size.
    fn next(&mut self, size: usize) {
        *self = Head { blurred: self.blurred || !self.done || self.behind != size, ..Head::default() };
    }
}

/// The socket of a client connection.
struct Guarded<S> {
    io: S,
    seat: Arc<Seat>,
    /// Since when the client takes nothing.
    stalled: Option<Pin<Box<Sleep>>>,
}

impl<S> Guarded<S> {
    /// Guards against clients that do not read: their answers would be kept for good.
    fn written<T>(&mut self, cx: &mut Context<'_>, done: Poll<io::Result<T>>) -> Poll<io::Result<T>> {
        if done.is_ready() {
            self.stalled = None;
            return done;
        }
        let stalled = self.stalled.get_or_insert_with(|| Box::pin(sleep(WRITE_FOR)));
        ready!(stalled.as_mut().poll(cx));
        Poll::Ready(Err(io::ErrorKind::TimedOut.into()))
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for Guarded<S> {
    fn poll_read(
        mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        let done = Pin::new(&mut self.io).poll_read(cx, buf);
        lock(&self.seat.head).read(&buf.filled()[before..]);
        done
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for Guarded<S> {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        let done = Pin::new(&mut self.io).poll_write(cx, buf);
        self.written(cx, done)
    }
    fn poll_write_vectored(
        mut self: Pin<&mut Self>, cx: &mut Context<'_>, bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let done = Pin::new(&mut self.io).poll_write_vectored(cx, bufs);
        self.written(cx, done)
    }
    fn is_write_vectored(&self) -> bool {
        self.io.is_write_vectored()
    }
    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let done = Pin::new(&mut self.io).poll_flush(cx);
        self.written(cx, done)
    }
    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let done = Pin::new(&mut self.io).poll_shutdown(cx);
        self.written(cx, done)
    }
}
