"""Publication of operators' files as the next revision."""

from __future__ import annotations

import hashlib
from collections.abc import Iterable

import msgspec

from cyclamenwing.catalog import audit
from cyclamenwing.catalog import errors
from cyclamenwing.catalog import types
from cyclamenwing.store import commits
from cyclamenwing.store import errors as store_errors
from cyclamenwing.store import keys
from cyclamenwing.store import protocol

MAX_COMMIT_IDS = 64


class HeadCodec:
    """Convert the head to and from JSON."""

    def decode(self, value: bytes | None) -> types.Head:
        """Read the head; raise `MalformedCatalogError` on a wrong one."""
        if value is None:
            return {
                "revision": 0,
                "services": {},
                "commits": [],
                "audit": [],
                "audit_segments": 0,
            }
        try:
            return msgspec.json.decode(value, type=types.Head)
        except (msgspec.ValidationError, msgspec.DecodeError) as err:
            raise errors.MalformedCatalogError(str(err)) from err

    def encode(self, document: types.Head) -> bytes:
        """Write the head."""
        return msgspec.json.encode(document)

    def contains(self, document: types.Head, commit_id: str) -> bool:
        """Tell whether the head holds a commit."""
        return commit_id in document["commits"]


async def publish_files(
    store: protocol.Store,
    files: Iterable[types.ServiceFile],
    change: audit.Change,
    commit_id: str,
    base_revision: int | None = None,
) -> types.Head:
    """Publish files as one revision with one audit record a service.

    Raise `PublishConflictError` when a service that is published changed
    after `base_revision`.
    """
    chunks = {file["service"]: msgspec.json.encode(file) for file in files}
    digests = {
        service: hashlib.sha256(chunk).hexdigest()
        for service, chunk in chunks.items()
    }
    for service, chunk in chunks.items():
        await _write_chunk(store, digests[service], chunk)

    def apply(head: types.Head) -> None:
        _check_base(head, digests, base_revision)
        head["revision"] += 1
        for service, digest in digests.items():
            before = head["services"].get(service)
            head["services"][service] = {
                "digest": digest,
                "revision": head["revision"],
                "author": change.author,
            }
            made = change._replace(
                subject=service,
                before=before["digest"] if before else None,
                after=digest,
            )
            audit.append_record(head, made)
        head["commits"].append(commit_id)
        del head["commits"][:-MAX_COMMIT_IDS]

    done = await commits.commit(
        store, keys.CATALOG_HEAD, HeadCodec(), commit_id, apply
    )
    return done.document


async def read_head(store: protocol.Store) -> types.Head:
    """Read the head of the configuration."""
    found = await store.get(keys.CATALOG_HEAD)
    return HeadCodec().decode(found.value if found else None)


async def read_revision(
    store: protocol.Store, head: types.Head
) -> types.Revision:
    """Read the whole revision that a head names."""
    services: dict[str, types.ServiceFile] = {}
    for service, ref in head["services"].items():
        found = await store.get(keys.name_chunk(ref["digest"]))
        if found is None:
            raise errors.MalformedCatalogError(f"no chunk of {service!r}")
        services[service] = msgspec.json.decode(
            found.value, type=types.ServiceFile
        )
    return {"revision": head["revision"], "services": services}


async def _write_chunk(
    store: protocol.Store, digest: str, chunk: bytes
) -> None:
    try:
        await store.swap(keys.name_chunk(digest), 0, chunk)
    except store_errors.StoreAnswerLostError:
        # The key is the content's digest, so writing again is harmless.
        await store.swap(keys.name_chunk(digest), 0, chunk)


def _check_base(
    head: types.Head, digests: dict[str, str], base_revision: int | None
) -> None:
    if base_revision is None:
        return
    for service in digests:
        ref = head["services"].get(service)
        if ref is not None and ref["revision"] > base_revision:
            raise errors.PublishConflictError(
                f"{service!r} was published by {ref['author']!r}"
                f" in revision {ref['revision']}"
            )


__all__ = (
    "HeadCodec",
    "publish_files",
    "read_head",
    "read_revision",
)
