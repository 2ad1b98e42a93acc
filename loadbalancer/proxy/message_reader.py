"""An incremental parser of HTTP/1.1 messages without I/O, with limits on their sizes."""

from __future__ import annotations

import httptools

from loadbalancer.proxy.http import Message
from loadbalancer.proxy.http_status import (
    BAD_REQUEST,
    CONTENT_TOO_LARGE,
    FIRST_FINAL_STATUS,
    REQUEST_HEADER_FIELDS_TOO_LARGE,
)

MAX_REQUEST_BODY_BYTES = 64 * 1024

# Some endpoints send responses of 400 KB, although 64 KB are specified.
MAX_RESPONSE_BODY_BYTES = 1024 * 1024

# Limit on a message's start line, headers and trailers together.
MAX_HEADER_BYTES = 16 * 1024

# Limit on a chunked message's size, as a multiple of the maximum body size. A body byte in a chunk of its own
# takes six bytes.
MAX_FRAMING_FACTOR = 8

# Limit on 1xx responses before a final one.
MAX_INTERIM_RESPONSES = 16

# Headers that tell where a body ends.
LENGTH_HEADERS = frozenset({b"content-length", b"transfer-encoding"})

# Memory that a parsed header takes beside its text: two byte strings, their tuple, and the places that refer
# to it in the list and the index of a message.
PARSED_HEADER_OVERHEAD_BYTES = 240


class _MessageFollowsError(Exception):
    """A callback raises this to end the parsing of data in which another message follows a complete one."""


class MessageReader:
    """Parses the bytes of a connection into messages; sets `error_status` if they are invalid."""

    def __init__(self, *, responses: bool = False, max_body_bytes: int = MAX_REQUEST_BODY_BYTES) -> None:
        self._parser = httptools.HttpResponseParser(self) if responses else httptools.HttpRequestParser(self)
        self._max_body_bytes = max_body_bytes
        self._closed = False
        self._complete: Message | None = None
        self._message_bytes = 0  # size so far of the incomplete message, framing included
        self._interim_responses = 0  # 1xx responses before the final one
        self.message_started = False
        """Whether part of a message has been received, and the rest is due."""
        self.error_status = 0
        """The status for a peer that violated HTTP or exceeded a limit; 0 if it did neither.

        It is sent to clients only.
        """
        self._reset_message()

    def _reset_message(self) -> None:
        self._headers: list[tuple[bytes, bytes]] = []
        self._target = b""
        self._body = bytearray()
        self._header_bytes = 0
        self._in_body = False

    @property
    def held_bytes(self) -> int:
        """The memory that the parts of an incomplete message take, estimated from above."""
        if not self.message_started:
            return 0
        text_bytes = max(self._message_bytes, self._header_bytes + len(self._body))
        return text_bytes + len(self._headers) * PARSED_HEADER_OVERHEAD_BYTES

    def feed(self, data: bytes | memoryview) -> Message | None:
        """Return the message that this data completes, if any.

        `error_status` is set if invalid data or the start of another message follows in the same data.
        """
        if self._closed:
            return None
        self._message_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self._complete = None  # no other protocol is supported
            self._set_error(BAD_REQUEST)
        except httptools.HttpParserError:
            self._set_error(BAD_REQUEST)
        self._check_message_size()
        if self.error_status:
            self._reset_message()
        complete = self._complete
        self._complete = None
        return complete

    def feed_eof(self) -> Message | None:
        """Return the response that the end of the stream completes, if any: one that has no length."""
        if self._closed or self.error_status or not self._ends_with_stream:
            return None
        self.on_message_complete()
        complete = self._complete
        self._complete = None
        return complete

    @property
    def _ends_with_stream(self) -> bool:
        """Whether the body of a response is being received, and nothing tells its length."""
        if not self._in_body or isinstance(self._parser, httptools.HttpRequestParser):
            return False
        return not any(name in LENGTH_HEADERS for name, _ in self._headers)

    def close(self) -> None:
        """Free the parts of an incomplete message; what is fed later is ignored.

        The parser holds callbacks of this object. Without the end of that cycle, the parts would stay in
        memory until the garbage collector finds them.
        """
        if self._closed:
            return
        self._closed = True
        del self._parser
        self.message_started = False
        self._reset_message()

    def _check_message_size(self) -> None:
        """Limit the memory for the headers of an endless message, and the time to parse it."""
        if not self._in_body and self._message_bytes > MAX_HEADER_BYTES:
            self._set_error(REQUEST_HEADER_FIELDS_TOO_LARGE)
        elif self._message_bytes > MAX_HEADER_BYTES + MAX_FRAMING_FACTOR * self._max_body_bytes:
            self._set_error(CONTENT_TOO_LARGE)  # for example by endless chunk extensions

    def _set_error(self, status: int) -> None:
        """Set the error status, unless there is one already."""
        self.error_status = self.error_status or status

    # -- callbacks of httptools --

    def on_message_begin(self) -> None:
        """Record that a message has started; stop parsing if the data completed another one before it."""
        self.message_started = True
        if self._complete:
            raise _MessageFollowsError

    def on_url(self, url: bytes) -> None:
        """Append a part of the request target."""
        self._target += url
        self._count_header_bytes(len(url))

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store a header, or drop a trailer of a chunked body."""
        self._count_header_bytes(len(name) + len(value) + len(b": \r\n"))
        # A trailer must not be mistaken for a header.
        if not self._in_body and not self.error_status:
            self._headers.append((name.lower(), value))

    def _count_header_bytes(self, size: int) -> None:
        self._header_bytes += size
        if self._header_bytes > MAX_HEADER_BYTES:
            self._set_error(REQUEST_HEADER_FIELDS_TOO_LARGE)

    def on_headers_complete(self) -> None:
        """Check the HTTP version and the framing headers of a message."""
        self._in_body = True
        if self._parser.get_http_version() not in ("1.0", "1.1"):
            self._set_error(BAD_REQUEST)
        for name, value in self._headers:
            if name == b"content-length" and int(value) > self._max_body_bytes:
                self._set_error(CONTENT_TOO_LARGE)  # before the body is received
            elif name == b"transfer-encoding" and value.strip().lower() != b"chunked":
                self._set_error(BAD_REQUEST)  # an encoding that is not supported

    def on_body(self, data: bytes) -> None:
        """Append a part of the body."""
        if len(self._body) + len(data) > self._max_body_bytes:
            self._set_error(CONTENT_TOO_LARGE)
        if not self.error_status:
            self._body += data

    def on_message_complete(self) -> None:
        """Store the complete message, unless it is invalid or an interim response."""
        if self.error_status:
            return
        message = self._build_message()
        self._message_bytes = 0
        self.message_started = False
        self._reset_message()
        if 0 < message.status < FIRST_FINAL_STATUS:
            self._count_interim_response()
        else:
            self._complete = message
            self._interim_responses = 0

    def _build_message(self) -> Message:
        message = Message(
            self._headers, self._body, self._parser.should_keep_alive(), held_bytes=self.held_bytes
        )
        if isinstance(self._parser, httptools.HttpRequestParser):
            message.method = self._parser.get_method()
            message.target = self._target
        else:
            message.status = self._parser.get_status_code()
        return message

    def _count_interim_response(self) -> None:
        """Count a 1xx response, which is dropped, and limit how many precede the final one."""
        self._interim_responses += 1
        if self._interim_responses > MAX_INTERIM_RESPONSES:
            self._set_error(BAD_REQUEST)
