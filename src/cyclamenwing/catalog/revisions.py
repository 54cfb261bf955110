"""Reading of published revisions from the store."""

from __future__ import annotations

import hashlib
from collections.abc import Mapping

import msgspec

from cyclamenwing import decoding
from cyclamenwing.catalog import errors
from cyclamenwing.catalog import types
from cyclamenwing.store import keys
from cyclamenwing.store import protocol


class HeadCodec:
    """Convert the head to and from JSON."""

    def decode(self, value: bytes | None) -> types.Head:
        """Decode the head, an empty one if there is no value.

        :raises MalformedCatalogError: if the value is malformed
        """
        if value is None:
            return {
                "revision": 0,
                "services": {},
                "removed": {},
                "commits": [],
                "audit": [],
                "audit_segments": 0,
            }
        try:
            return decoding.decode(value, types.Head)
        except msgspec.DecodeError as err:
            raise errors.MalformedCatalogError(str(err)) from err

    def encode(self, document: types.Head) -> bytes:
        """Encode the head."""
        return msgspec.json.encode(document)

    def contains(self, document: types.Head, commit_id: str) -> bool:
        """Return whether the head contains a commit."""
        return commit_id in document["commits"]


async def read_head(store: protocol.Store) -> types.Head:
    """Read the head of the configuration from the store."""
    stored = await store.get(keys.CATALOG_HEAD)
    return HeadCodec().decode(stored.value if stored else None)


async def read_revision(
    store: protocol.Store,
    head: types.Head,
    cached: types.Revision | None = None,
) -> types.Revision:
    """Read the full revision that a head describes.

    :param cached: an earlier revision, whose files are not read again
    """
    chunks: dict[str, types.ServiceFile] = {}
    if cached is not None:
        chunks = {
            ref["digest"]: cached["services"][service]
            for service, ref in cached.get("refs", {}).items()
        }
    await read_chunks(store, head["services"], chunks)
    return {
        "revision": head["revision"],
        "services": {
            service: chunks[ref["digest"]]
            for service, ref in head["services"].items()
        },
        "refs": head["services"],
        "removed": head["removed"],
    }


async def read_chunks(
    store: protocol.Store,
    refs: Mapping[str, types.ServiceRef],
    cached_files: dict[str, types.ServiceFile],
) -> None:
    """Add the files that refs name and `cached_files` lacks to it."""
    for service, ref in refs.items():
        if ref["digest"] in cached_files:
            continue
        stored = await store.get(keys.name_chunk(ref["digest"]))
        if stored is None:
            raise errors.MalformedCatalogError(
                f"no stored file for service {service!r}"
            )
        cached_files[ref["digest"]] = decode_chunk(stored.value, ref["digest"])


def decode_chunk(value: bytes, digest: str) -> types.ServiceFile:
    """Decode a service's file after a check of its digest.

    :raises MalformedCatalogError: if the digest differs or the value is
        malformed
    """
    if hashlib.sha256(value).hexdigest() != digest:
        raise errors.MalformedCatalogError(
            f"the file with digest {digest} is corrupted"
        )
    try:
        return decoding.decode(value, types.ServiceFile)
    except msgspec.DecodeError as err:
        raise errors.MalformedCatalogError(str(err)) from err


__all__ = (
    "HeadCodec",
    "decode_chunk",
    "read_chunks",
    "read_head",
    "read_revision",
)
