//! The parts of MIME (RFC 2045, RFC 2046) that AS2 needs.
use base64::{engine::general_purpose::STANDARD, Engine};

/// A MIME entity: the media type, and the body without headers.
#[derive(Clone, Debug)]
pub struct Entity {
    /// The value of `Content-Type`, including its parameters.
    pub content_type: String,
    /// The unchanged bytes of the body.
    pub body: Vec<u8>,
}

/// Parses the text of an entity, headers and body. Returns `None` if it has no headers or no `Content-Type`.
pub fn parse_entity(text: &[u8]) -> Option<Entity> {
    let (headers, body) = headers_and_body(text)?;
    Some(Entity { content_type: header(&headers, "content-type")?, body: body.to_vec() })
}

/// Returns the body of an entity's text with its transfer encoding decoded (RFC 2045, section 6). Returns `None` if the text
/// has no headers or its base64 is invalid.
pub fn decoded_body(text: &[u8]) -> Option<Vec<u8>> {
    let (headers, body) = headers_and_body(text)?;
    match header(&headers, "content-transfer-encoding") {
        Some(encoding) if encoding.eq_ignore_ascii_case("base64") => {
            let base64: Vec<u8> = body.iter().copied().filter(|b| !b.is_ascii_whitespace()).collect();
            STANDARD.decode(base64).ok()
        }
        _ => Some(body.to_vec()),
    }
}

/// Returns the media type without its parameters, in lower case.
pub(super) fn media_type(content_type: &str) -> String {
    content_type.split(';').next().unwrap_or_default().trim().to_ascii_lowercase()
}

/// Returns the parts of a multipart entity (RFC 2046, section 5.1). The bytes of each part are unchanged, because any other
/// bytes would invalidate its signature.
pub(super) fn body_parts(entity: &Entity) -> Option<Vec<&[u8]>> {
    let delimiter = format!("--{}", parameter(&entity.content_type, "boundary")?).into_bytes();
    let mut rest = &entity.body[find(&entity.body, &delimiter)? + delimiter.len()..];
    let mut parts = Vec::new();
    // The closing delimiter ends with two more hyphens.
    while !rest.starts_with(b"--") {
        let start = find(rest, b"\n")? + 1;
        let end = start + find(&rest[start..], &delimiter)?;
        parts.push(without_line_break(&rest[start..end]));
        rest = &rest[end + delimiter.len()..];
    }
    Some(parts)
}

/// Removes the line break before a delimiter, which belongs to the delimiter.
fn without_line_break(part: &[u8]) -> &[u8] {
    part.strip_suffix(b"\r\n").or(part.strip_suffix(b"\n")).unwrap_or(part)
}

fn parameter(content_type: &str, name: &str) -> Option<String> {
    content_type.split(';').skip(1).find_map(|parameter| {
        let (key, value) = parameter.split_once('=')?;
        key.trim().eq_ignore_ascii_case(name).then(|| value.trim().trim_matches('"').to_string())
    })
}

fn find(text: &[u8], pattern: &[u8]) -> Option<usize> {
    text.windows(pattern.len()).position(|window| window == pattern)
}

/// Splits an entity's text into its headers, unfolded and with `\n` as line ends, and its body.
fn headers_and_body(text: &[u8]) -> Option<(String, &[u8])> {
    let (end, separator) = match find(text, b"\r\n\r\n") {
        Some(end) => (end, 4),
        None => (find(text, b"\n\n")?, 2),
    };
    let headers = with_unix_line_ends(&text[..end]);
    Some((unfold(&headers), &text[end + separator..]))
}

/// Returns the text with `\n` in place of `\r\n`, and with replacement characters for invalid UTF-8.
pub(super) fn with_unix_line_ends(text: &[u8]) -> String {
    String::from_utf8_lossy(text).replace("\r\n", "\n")
}

/// Unfolds headers: joins the lines of each header that spans several (RFC 5322, section 2.2.3).
pub(super) fn unfold(headers: &str) -> String {
    headers.replace("\n ", " ").replace("\n\t", " ")
}

/// Returns the value of the first header with this name, which is compared without regard to case.
pub(super) fn header(headers: &str, name: &str) -> Option<String> {
    headers.lines().find_map(|line| {
        let (key, value) = line.split_once(':')?;
        key.trim().eq_ignore_ascii_case(name).then(|| value.trim().to_string())
    })
}
