//! Example partner endpoint and discovery server in one, on 127.0.0.1:9100. It prints the requests that it receives, and
//! rejects every third call with a Retry-After to provoke a second attempt. The section "Try it" of the README uses it.
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;

static CALLS: AtomicUsize = AtomicUsize::new(0);

fn main() -> io::Result<()> {
    let listener = TcpListener::bind("127.0.0.1:9100")?;
    println!("toy partner and discovery on 127.0.0.1:9100");
    for socket in listener.incoming() {
        let socket = socket?;
        thread::spawn(move || serve_connection(socket).unwrap_or_else(|e| println!("connection: {e}")));
    }
    Ok(())
}

fn serve_connection(mut socket: TcpStream) -> io::Result<()> {
    let mut reader = BufReader::new(socket.try_clone()?);
    loop {
        let (mut head, mut size) = (String::new(), 0);
        while !head.ends_with("\r\n\r\n") {
            let line_start = head.len();
            if reader.read_line(&mut head)? == 0 {
                return Ok(());
            }
            if let Some(length) = head[line_start..].to_ascii_lowercase().strip_prefix("content-length:") {
                size = length.trim().parse().map_err(io::Error::other)?;
            }
        }
        let mut body = vec![0; size];
        reader.read_exact(&mut body)?;
        let (request_line, body) = (head.lines().next().unwrap_or_default(), String::from_utf8_lossy(&body));
        if request_line.starts_with("GET /v1/endpoints") {
            // The endpoint list never changes: only send the empty line that keeps a watch alive, every two seconds.
            socket.write_all(b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n")?;
            loop {
                socket.write_all(b"1\r\n\n\r\n")?;
                thread::sleep(std::time::Duration::from_secs(2));
            }
        }
        let response = match request_line.starts_with("POST /reports") {
            true => "204 No Content\r\n",
            false if CALLS.fetch_add(1, Ordering::SeqCst) % 3 == 2 => "429 Later\r\nRetry-After: 0.5\r\n",
            false => "200 OK\r\n",
        };
        println!("{request_line}: {} -> {}", body.trim(), response.lines().next().unwrap_or_default());
        write!(socket, "HTTP/1.1 {response}Content-Length: 0\r\n\r\n")?;
    }
}
