//! Heads of requests and responses.

use crate::{BodyFraming, H1Fault};
use bytes::{BufMut, BytesMut};
use http::{
    header::{CONNECTION, CONTENT_LENGTH, TRANSFER_ENCODING},
    HeaderMap, HeaderName, HeaderValue, Method, StatusCode,
};

/// Maximum number of headers of one message.
pub(crate) const MAX_HEADERS: usize = 96;

/// Highest status code that has a meaning (RFC 9110, section 15).
const MAX_STATUS: u16 = 599;

/// Hop-by-hop headers (RFC 9110, section 7.6.1).
const HOP_HEADERS: [&str; 8] = [
    "connection",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "trailer",
    "upgrade",
];

/// The head of a request.
#[derive(Clone, Debug)]
pub struct RequestHead {
    /// Request method.
    pub method: Method,
    /// Request target as received: path and query.
    pub target: String,
    /// Minor HTTP version: 0 or 1.
    pub minor: u8,
    /// Headers, with lower-case names.
    pub headers: HeaderMap,
}

impl RequestHead {
    /// Returns the framing of the body.
    ///
    /// # Errors
    ///
    /// Returns [`H1Fault::Malformed`] for invalid or ambiguous framing.
    pub fn framing(&self) -> Result<BodyFraming, H1Fault> {
        Ok(declared_framing(&self.headers)?.unwrap_or(BodyFraming::Length(0)))
    }

    /// Returns whether the client will send no further requests on this connection.
    pub fn wants_close(&self) -> bool {
        self.minor == 0 || has_token(&self.headers, "close")
    }

    /// Returns the path of the target, without the query.
    ///
    /// ```
    /// use berylmount_h1::RequestHead;
    /// use http::{HeaderMap, Method};
    ///
    /// let (method, headers) = (Method::GET, HeaderMap::new());
    /// let head = RequestHead { method, target: "/a/b?c=1".to_owned(), minor: 1, headers };
    /// assert_eq!(head.path(), "/a/b");
    /// ```
    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or_default()
    }

    /// Returns the query of the target, or an empty string.
    pub fn query(&self) -> &str {
        self.target.split_once('?').map_or("", |(_, query)| query)
    }
}

/// The head of a response.
#[derive(Clone, Debug)]
pub struct ResponseHead {
    /// Status code.
    pub status: StatusCode,
    /// Minor HTTP version: 0 or 1.
    pub minor: u8,
    /// Headers, with lower-case names.
    pub headers: HeaderMap,
}

impl ResponseHead {
    /// Returns the framing of the body in a response to a request with `method`.
    ///
    /// # Errors
    ///
    /// Returns [`H1Fault::Malformed`] for invalid or ambiguous framing.
    pub fn framing(&self, method: &Method) -> Result<BodyFraming, H1Fault> {
        let bodiless = *method == Method::HEAD
            || self.status == StatusCode::NO_CONTENT
            || self.status == StatusCode::NOT_MODIFIED;
        if bodiless {
            return Ok(BodyFraming::Length(0));
        }
        Ok(declared_framing(&self.headers)?.unwrap_or(BodyFraming::UntilClose))
    }

    /// Returns whether the server will accept no further requests on this connection.
    pub fn wants_close(&self) -> bool {
        self.minor == 0 || has_token(&self.headers, "close")
    }
}

/// Returns the framing that the headers declare, if any.
fn declared_framing(headers: &HeaderMap) -> Result<Option<BodyFraming>, H1Fault> {
    let mut lengths = headers.get_all(CONTENT_LENGTH).iter();
    let length = lengths.next();
    if lengths.next().is_some() {
        return Err(H1Fault::Malformed("more than one Content-Length"));
    }
    let mut codings = headers.get_all(TRANSFER_ENCODING).iter();
    let coding = codings.next();
    if codings.next().is_some() {
        return Err(H1Fault::Malformed("more than one Transfer-Encoding"));
    }
    match (length, coding) {
        (Some(_), Some(_)) => Err(H1Fault::Malformed(
            "both Content-Length and Transfer-Encoding",
        )),
        (None, None) => Ok(None),
        (Some(length), None) => Ok(Some(BodyFraming::Length(parse_length(length)?))),
        (None, Some(coding)) if coding.as_bytes().eq_ignore_ascii_case(b"chunked") => {
            Ok(Some(BodyFraming::Chunked))
        }
        (None, Some(_)) => Err(H1Fault::Malformed("unknown Transfer-Encoding")),
    }
}

/// Parses a Content-Length; only digits are allowed, no sign and no list.
fn parse_length(value: &HeaderValue) -> Result<u64, H1Fault> {
    let text = value.to_str().unwrap_or_default();
    let digits = !text.is_empty() && text.bytes().all(|b| b.is_ascii_digit());
    let length = if digits { text.parse().ok() } else { None };
    length.ok_or(H1Fault::Malformed("Content-Length is not a number"))
}

/// Returns whether a Connection header contains `token`.
fn has_token(headers: &HeaderMap, token: &str) -> bool {
    let values = headers.get_all(CONNECTION).iter();
    let mut tokens = values.flat_map(|v| v.to_str().unwrap_or_default().split(','));
    tokens.any(|name| name.trim().eq_ignore_ascii_case(token))
}

/// Removes the hop-by-hop headers, the headers named by the Connection header, and the
/// headers that frame the body.
///
/// ```
/// use berylmount_h1::strip_hop_headers;
/// use http::HeaderMap;
///
/// let mut headers = HeaderMap::new();
/// headers.insert("connection", "x-hop".parse().unwrap());
/// headers.insert("x-hop", "1".parse().unwrap());
/// headers.insert("x-kept", "2".parse().unwrap());
/// strip_hop_headers(&mut headers);
/// assert_eq!(headers.len(), 1);
/// ```
pub fn strip_hop_headers(headers: &mut HeaderMap) {
    let named: Vec<HeaderName> = headers
        .get_all(CONNECTION)
        .iter()
        .flat_map(|v| v.to_str().unwrap_or_default().split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in named {
        headers.remove(name);
    }
    for name in HOP_HEADERS {
        headers.remove(name);
    }
    headers.remove(CONTENT_LENGTH);
    headers.remove(TRANSFER_ENCODING);
}

/// Appends `headers` to `output`, one line each.
pub fn push_headers(output: &mut BytesMut, headers: &HeaderMap) {
    for (name, value) in headers {
        output.put_slice(name.as_str().as_bytes());
        output.put_slice(b": ");
        output.put_slice(value.as_bytes());
        output.put_slice(b"\r\n");
    }
}

/// A parsed head with its length in bytes; `None` if more bytes are needed.
pub(crate) type ParsedHead<H> = Result<Option<(usize, H)>, H1Fault>;

/// Parses a request head at the start of `bytes`.
pub(crate) fn parse_request(bytes: &[u8]) -> ParsedHead<RequestHead> {
    let mut buffer = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut parsed = httparse::Request::new(&mut buffer);
    let length = match parsed.parse(bytes) {
        Ok(httparse::Status::Complete(length)) => length,
        Ok(httparse::Status::Partial) => return Ok(None),
        Err(httparse::Error::TooManyHeaders) => return Err(H1Fault::HeadTooLong),
        Err(_) => return Err(H1Fault::Malformed("invalid request head")),
    };
    let method = parsed.method.unwrap_or_default().as_bytes();
    let head = RequestHead {
        method: Method::from_bytes(method).map_err(|_| H1Fault::Malformed("invalid method"))?,
        target: parsed.path.unwrap_or_default().to_owned(),
        minor: parsed.version.unwrap_or(1),
        headers: owned_headers(parsed.headers)?,
    };
    Ok(Some((length, head)))
}

/// Parses a response head at the start of `bytes`.
pub(crate) fn parse_response(bytes: &[u8]) -> ParsedHead<ResponseHead> {
    let mut buffer = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut parsed = httparse::Response::new(&mut buffer);
    let length = match parsed.parse(bytes) {
        Ok(httparse::Status::Complete(length)) => length,
        Ok(httparse::Status::Partial) => return Ok(None),
        Err(_) => return Err(H1Fault::Malformed("invalid response head")),
    };
    let code = parsed.code.filter(|code| *code <= MAX_STATUS);
    let status = StatusCode::from_u16(code.unwrap_or_default());
    let head = ResponseHead {
        status: status.map_err(|_| H1Fault::Malformed("invalid status code"))?,
        minor: parsed.version.unwrap_or(1),
        headers: owned_headers(parsed.headers)?,
    };
    Ok(Some((length, head)))
}

/// Copies parsed headers into a map.
fn owned_headers(parsed: &[httparse::Header<'_>]) -> Result<HeaderMap, H1Fault> {
    let mut headers = HeaderMap::with_capacity(parsed.len());
    for header in parsed {
        let name = HeaderName::from_bytes(header.name.as_bytes());
        let value = HeaderValue::from_bytes(header.value);
        match (name, value) {
            (Ok(name), Ok(value)) => headers.append(name, value),
            _ => return Err(H1Fault::Malformed("invalid header")),
        };
    }
    Ok(headers)
}
