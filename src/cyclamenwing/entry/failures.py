"""Classification of failed exchanges with sidecars."""

from __future__ import annotations

from collections.abc import Callable

from cyclamenwing import errors as base_errors
from cyclamenwing.entry import answer_relay
from cyclamenwing.request import attempts
from cyclamenwing.request import errors
from cyclamenwing.transport import errors as transport_errors


def classify_failure(error: base_errors.CodedError) -> attempts.Failure:
    """Return the kind of failure that an error is for an attempt."""
    for kind, classify in _CLASSES:
        if isinstance(error, kind):
            return attempts.Failure(classify(error), error)
    return attempts.Failure("final", error)


def _classify_refusal(
    error: base_errors.CodedError,
) -> attempts.FailureKind:
    if error.code in _REFUSALS:
        return _REFUSALS[error.code]
    return "refused" if error.run == "not_run" else "final"


def _classify_peer(error: base_errors.CodedError) -> attempts.FailureKind:
    # A "not_run" refusal covers only this exchange, not an order that was
    # sent to the sidecar earlier.
    return "replaced" if error.run == "not_run" else "lost"


_REFUSALS: dict[str, attempts.FailureKind] = {
    "cancelled": "crashed",
    "endpoint_crashed": "crashed",
    "endpoint_silent": "crashed",
    "key_reused": "final",
    "other_incarnation": "replaced",
    "run_not_found": "final",
}
_CLASSES: tuple[
    tuple[
        type[base_errors.CodedError],
        Callable[[base_errors.CodedError], attempts.FailureKind],
    ],
    ...,
] = (
    (answer_relay.RunRefusedError, _classify_refusal),
    (transport_errors.PeerRefusedError, _classify_peer),
    (transport_errors.ConnectFailedError, lambda _error: "unsent"),
    (transport_errors.ConnectionSilentError, lambda _error: "silent"),
    (transport_errors.TransportError, lambda _error: "lost"),
    (errors.AnswerGapError, lambda _error: "lost"),
)

__all__ = ("classify_failure",)
