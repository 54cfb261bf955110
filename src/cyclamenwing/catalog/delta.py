"""Steps from one revision to a higher one, changed services only."""

from __future__ import annotations

import hashlib
from collections.abc import Mapping

from cyclamenwing.catalog import errors
from cyclamenwing.catalog import types


def make_delta(revision: types.Revision, since: int) -> types.Delta:
    """Return what changed after an earlier revision."""
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
    """Return the revision after a step.

    Raise `DeltaMismatchError` when the step doesn't start at this revision
    or misses a change, so that the whole must be asked for.
    """
    if delta["since"] not in {0, revision["revision"]}:
        raise errors.DeltaMismatchError(
            f"a step from {delta['since']}, not {revision['revision']}"
        )
    whole = delta["since"] == 0
    refs = {} if whole else dict(revision.get("refs", {}))
    services = {} if whole else dict(revision["services"])
    removed = {} if whole else dict(revision.get("removed", {}))
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
            f"the step to {delta['revision']} misses a change"
        )
    return {
        "revision": delta["revision"],
        "services": services,
        "refs": refs,
        "removed": removed,
    }


def digest_refs(refs: Mapping[str, types.ServiceRef]) -> str:
    """Return a digest of the files that a revision consists of."""
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
