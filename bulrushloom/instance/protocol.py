"""Complete list of the messages that instances exchange."""

from bulrushloom.coordination.configuration.base import (
    Ping,
    Pong,
    RulesRequest,
    RulesText,
)
from bulrushloom.coordination.failover.base import WatcherReport
from bulrushloom.coordination.limits.base import (
    HolderAck,
    HolderHeartbeat,
    SealAnswer,
    SealRequest,
    ShareGrant,
    ShareHandover,
    ShareRefused,
    ShareRequest,
    TokenLoan,
    TokenLoanRequest,
)
from bulrushloom.instance.messages import (
    CancelStatement,
    GroupView,
    GroupViewRequest,
    StatementAnswer,
    StatementRequest,
    TransactionAnswer,
    TransactionRequest,
)
from bulrushloom.peers.codec import MessageCodec

PEER_MESSAGES: tuple[type, ...] = (
    StatementRequest,
    StatementAnswer,
    CancelStatement,
    TransactionRequest,
    TransactionAnswer,
    GroupViewRequest,
    GroupView,
    WatcherReport,
    Ping,
    Pong,
    RulesRequest,
    RulesText,
    ShareRequest,
    ShareGrant,
    ShareRefused,
    HolderHeartbeat,
    HolderAck,
    SealRequest,
    SealAnswer,
    ShareHandover,
    TokenLoanRequest,
    TokenLoan,
)


# Messages with repetitive account names and numbers; compression more than halves them.
PACKED_MESSAGES: tuple[type, ...] = (
    ShareRequest,
    ShareGrant,
    ShareHandover,
    TokenLoanRequest,
    TokenLoan,
)


def peer_codec() -> MessageCodec:
    """Return the codec of the peer protocol."""
    return MessageCodec(PEER_MESSAGES, PACKED_MESSAGES)
