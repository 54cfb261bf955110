"""Deltas between revisions, which hold only the changed services."""

from __future__ import annotations

import hashlib
from collections.abc import Mapping

from cyclamenwing.catalog import errors
from cyclamenwing.catalog import types


def make_delta(revision: types.Revision, since: int) -> types.Delta:
    """Return the services that changed after revision `since`."""
    refs = revision.get("refs", {})
    removed = revision.get("removed", {})
    changed = _select(refs, since)
    return {
        "since": since,
        "revision": revision["revision"],
        "refs": changed,
        "removed": _select(removed, since),
        "files": {
            service: revision["services"][service] for service in changed
        },
        "digest": digest_refs(refs),
    }


def apply_delta(
    revision: types.Revision, delta: types.Delta
) -> types.Revision:
    """Return the revision that results from a delta.

    :raises DeltaMismatchError: if the delta doesn't start at this revision
        or lacks a change; the caller then requests the full revision
    """
    if delta["since"] not in {0, revision["revision"]}:
        raise errors.DeltaMismatchError(
            f"delta starts at revision {delta['since']},"
            f" not at {revision['revision']}"
        )
    is_full = delta["since"] == 0
    refs = {} if is_full else dict(revision.get("refs", {}))
    services = {} if is_full else dict(revision["services"])
    removed = {} if is_full else dict(revision.get("removed", {}))
    for service, ref in delta["removed"].items():
        refs.pop(service, None)
        services.pop(service, None)
        removed[service] = ref
    for service, ref in delta["refs"].items():
        refs[service] = ref
        services[service] = delta["files"][service]
        removed.pop(service, None)
    if digest_refs(refs) != delta["digest"]:
        raise errors.DeltaMismatchError(
            f"delta to revision {delta['revision']} lacks a change"
        )
    return {
        "revision": delta["revision"],
        "services": services,
        "refs": refs,
        "removed": removed,
    }


def digest_refs(refs: Mapping[str, types.ServiceRef]) -> str:
    """Return a digest of the names and digests of a revision's files."""
    lines = sorted(f"{name} {ref['digest']}" for name, ref in refs.items())
    return hashlib.sha256("\n".join(lines).encode()).hexdigest()


def _select(
    refs: Mapping[str, types.ServiceRef], since: int
) -> dict[str, types.ServiceRef]:
    return {
        service: ref
        for service, ref in refs.items()
        if ref["revision"] > since
    }


__all__ = (
    "apply_delta",
    "digest_refs",
    "make_delta",
)
