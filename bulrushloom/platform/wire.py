"""Codec of the statement protocol of clients and servers.

A message is a line: a keyword and fields separated by spaces. The last field extends
to the end of the line.
"""

from datetime import timedelta

from bulrushloom.core.sentinels import Missing
from bulrushloom.proxy.messages import (
    NO_POSITION,
    AnswerCode,
    ClientMessage,
    DisconnectRequest,
    Failure,
    LogPosition,
    Malformed,
    PreparedStatement,
    ServerRole,
    ServerStatus,
    StartRequest,
    Statement,
    StatementKind,
    TransactionState,
)

MAX_LINE_BYTES = 1024 * 1024
MAX_POSITION_LENGTH = 40
LINE_END = b"\r\n"
# Request id of statements that the proxy sends on its own; clients may not use it.
PROXY_REQUEST_ID = b"-"
# Success of a statement that the proxy handles itself; no server signed it.
LOCAL_DONE = b"DONE -\r\n"
RESET = b"RESET"
STATUS = b"STATUS"
# Lets a replica receive the log again that a PAUSE statement stopped.
RESUME = b"RESUME"
BEGIN = b"BEGIN"
BEGIN_READ = b"BEGIN READ"
ROLLBACK = b"ROLLBACK"

CODE_BY_WORD: dict[bytes, AnswerCode] = {
    b"NODB": AnswerCode.UNKNOWN_DATABASE,
    b"NOAUTH": AnswerCode.UNAUTHENTICATED,
    b"BUSY": AnswerCode.NOT_RUN,
    b"ABORTED": AnswerCode.ABORTED,
    b"LAGGING": AnswerCode.LAGGING,
    b"READONLY": AnswerCode.READ_ONLY,
    b"MISROUTED": AnswerCode.WRONG_SERVER,
    b"TOOMANY": AnswerCode.TOO_MANY_CONNECTIONS,
    b"FAILED": AnswerCode.FAILED,
    b"TIMEOUT": AnswerCode.TIMEOUT,
    b"INDOUBT": AnswerCode.IN_DOUBT,
    b"BADMSG": AnswerCode.BAD_REQUEST,
    b"NOSTMT": AnswerCode.UNKNOWN_STATEMENT,
}
_WORD_BY_CODE = {code: word for word, code in CODE_BY_WORD.items()}
_STATE_BY_WORD = {
    b"I": TransactionState.IDLE,
    b"T": TransactionState.OPEN,
    b"E": TransactionState.FAILED,
}
_WORD_BY_STATE = {state: word for word, state in _STATE_BY_WORD.items()}
_KIND_BY_TEXT = {
    b"BEGIN": StatementKind.BEGIN,
    b"BEGIN READ": StatementKind.BEGIN_READ_ONLY,
    b"COMMIT": StatementKind.COMMIT,
    b"ROLLBACK": StatementKind.ROLLBACK,
}
_MILLISECOND = timedelta(milliseconds=1)


class ProtocolError(Exception):
    """A server sent an invalid message."""


def decode_client_line(line: bytes) -> ClientMessage:
    """Decode a message of a client; return ``Malformed`` if it is invalid.

    A line break inside a message is invalid: a server that ends lines at other
    characters than CR LF would run the rest as a statement of its own.
    """
    if b"\n" in line or b"\r" in line:
        return Malformed(b"", "the message has a line break in it")
    word, _, rest = line.partition(b" ")
    if word == b"QUERY":
        request_id, _, text = rest.partition(b" ")
        if not request_id or request_id == PROXY_REQUEST_ID:
            return Malformed(b"", "the statement has no id")
        return _decode_statement(request_id, text)
    if word == b"START":
        database, _, key = rest.partition(b" ")
        try:
            return StartRequest(database.decode("ascii"), key.decode("ascii"))
        except UnicodeDecodeError:
            return Malformed(b"", "database and key must be ASCII")
    if word == b"BYE":
        return DisconnectRequest()
    return Malformed(b"", "unknown message")


def _decode_statement(request_id: bytes, text: bytes) -> ClientMessage:
    if kind := _KIND_BY_TEXT.get(text):
        return Statement(request_id, kind, text)
    word, _, rest = text.partition(b" ")
    name, _, arguments = rest.partition(b" ")
    if not name:
        return Malformed(request_id, "the statement lacks fields")
    match word:
        case b"READ":
            return Statement(request_id, StatementKind.READ, text, name, arguments)
        case b"WRITE":
            return Statement(request_id, StatementKind.WRITE, text, name, arguments)
        case b"EXEC":
            return Statement(request_id, StatementKind.EXECUTE, text, name, arguments)
        case b"SET":
            kind = StatementKind.SET_VALUE
            return Statement(request_id, kind, text, name, arguments)
        case b"DEALLOC":
            return Statement(request_id, StatementKind.DEALLOCATE, text, name)
        case b"PREPARE":
            mode, _, shape = arguments.partition(b" ")
            if mode not in (b"READ", b"WRITE") or not shape:
                return Malformed(request_id, "a prepared statement needs a shape")
            prepared = PreparedStatement(mode == b"WRITE", shape)
            kind = StatementKind.PREPARE
            return Statement(request_id, kind, text, name, arguments, prepared)
    return Malformed(request_id, "unknown statement")


def encode_ready(state: TransactionState, position: LogPosition | Missing) -> bytes:
    """Encode the READY message that ends an answer."""
    position_text = (
        str(position).encode() if isinstance(position, LogPosition) else b"-"
    )
    return b"READY " + _WORD_BY_STATE[state] + b" " + position_text + LINE_END


def encode_failure(failure: Failure) -> bytes:
    """Encode the ERR message of a failed statement or session start."""
    text = failure.reason
    if failure.retry_after is not None:
        text += f"; retry after {failure.retry_after // _MILLISECOND} ms"
    return b"ERR " + _WORD_BY_CODE[failure.code] + b" " + text.encode() + LINE_END


def encode_rows_and_signature(
    rows: tuple[bytes, ...], signature: bytes, ready: bytes = b""
) -> bytes:
    """Encode a successful answer; ``ready`` is its final READY message.

    ``rows`` are raw ROW lines; ``signature`` is the server's proof that it ran the
    statement.
    """
    return b"".join([*rows, b"DONE ", signature, LINE_END, ready])


def encode_start(service: str, account: str, target_id: str) -> bytes:
    """Encode the message that starts a session at a server."""
    return f"START {service} {account} {target_id}\r\n".encode()


def encode_query(
    request_id: bytes, text: bytes, after: LogPosition | None = None
) -> bytes:
    """Encode a statement for a server.

    With ``after``, the server runs it only if it has applied that log position.
    """
    if after is None:
        return b"QUERY " + request_id + b" " + text + LINE_END
    prefix = f" AFTER {after.term}.{after.offset} ".encode()
    return b"QUERY " + request_id + prefix + text + LINE_END


def set_text(name: bytes, value: bytes) -> bytes:
    """Return the statement that sets a session value."""
    return b"SET " + name + b" " + value


def prepare_text(name: bytes, prepared: PreparedStatement) -> bytes:
    """Return the statement that prepares ``name``."""
    mode = b"WRITE" if prepared.is_write else b"READ"
    return b"PREPARE " + name + b" " + mode + b" " + prepared.shape


def execute_text(name: bytes, arguments: bytes) -> bytes:
    """Return the statement that executes the prepared ``name``."""
    return b"EXEC " + name + b" " + arguments


def pause_text(term: int) -> bytes:
    """Return the statement that makes a replica stop receiving the log.

    It applies to the logs of all terms below ``term``.
    """
    return b"PAUSE %d" % term


def demote_text(term: int) -> bytes:
    """Return the statement that turns a primary of a lower term into a replica."""
    return b"DEMOTE %d" % term


def decode_position(text: bytes) -> LogPosition | Missing:
    """Decode a log position; raise ``ProtocolError`` if it is malformed."""
    if text == b"-":
        return NO_POSITION
    term, separator, number = text.partition(b".")
    is_valid = separator and term.isdigit() and number.isdigit()
    if not is_valid or len(text) > MAX_POSITION_LENGTH:
        raise ProtocolError(f"{text[:MAX_POSITION_LENGTH]!r} is not a log position")
    return LogPosition(int(term), int(number))


def decode_ready(rest: bytes) -> tuple[TransactionState, LogPosition | Missing]:
    """Decode the fields of a READY line into state and position."""
    word, _, position = rest.partition(b" ")
    state = _STATE_BY_WORD.get(word)
    if state is None:
        raise ProtocolError(f"{word!r} is not a transaction state")
    return state, decode_position(position)


def decode_failure(rest: bytes) -> Failure:
    """Decode the fields of an ERR line; an unknown keyword counts as ``FAILED``."""
    word, _, text = rest.partition(b" ")
    code = CODE_BY_WORD.get(word, AnswerCode.FAILED)
    return Failure(code, text.decode("utf-8", "replace") or word.decode("latin-1"))


def decode_status(row: bytes) -> ServerStatus:
    """Decode the status in a ROW line; raise ``ProtocolError`` if it is malformed.

    The fields are the keyword, the role, the term, the received log position, the held
    term, the lag in milliseconds, and the numbers of busy slots and of connections.
    """
    fields = row.split()
    if len(fields) < 8 or fields[1] not in (b"primary", b"replica"):
        raise ProtocolError(f"{row!r} is not a server status")
    received = decode_position(fields[3])
    if isinstance(received, Missing):
        received = LogPosition(0, 0)
    try:
        term, held_term, lag_ms, busy, connections = (
            int(float(fields[index])) for index in (2, 4, 5, 6, 7)
        )
        lag = timedelta(milliseconds=lag_ms)
    except (ValueError, OverflowError) as error:
        raise ProtocolError(f"{row!r} is not a server status") from error
    return ServerStatus(
        ServerRole(fields[1].decode()),
        term,
        received,
        held_term,
        lag,
        busy,
        connections,
    )
