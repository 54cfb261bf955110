"""Published revisions as the store holds them."""

from __future__ import annotations

import hashlib
from collections.abc import Mapping

import msgspec

from cyclamenwing.catalog import errors
from cyclamenwing.catalog import types
from cyclamenwing.store import keys
from cyclamenwing.store import protocol


class HeadCodec:
    """Convert the head to and from JSON."""

    def decode(self, value: bytes | None) -> types.Head:
        """Read the head; raise `MalformedCatalogError` on a wrong one."""
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
            return msgspec.json.decode(value, type=types.Head)
        except (msgspec.ValidationError, msgspec.DecodeError) as err:
            raise errors.MalformedCatalogError(str(err)) from err

    def encode(self, document: types.Head) -> bytes:
        """Write the head."""
        return msgspec.json.encode(document)

    def contains(self, document: types.Head, commit_id: str) -> bool:
        """Tell whether the head holds a commit."""
        return commit_id in document["commits"]


async def read_head(store: protocol.Store) -> types.Head:
    """Read the head of the configuration."""
    found = await store.get(keys.CATALOG_HEAD)
    return HeadCodec().decode(found.value if found else None)


async def read_revision(
    store: protocol.Store,
    head: types.Head,
    known: types.Revision | None = None,
) -> types.Revision:
    """Read the whole revision that a head names.

    Files that are `known` from an earlier revision are not read again.
    """
    chunks: dict[str, types.ServiceFile] = {}
    if known is not None:
        chunks = {
            ref["digest"]: known["services"][service]
            for service, ref in known.get("refs", {}).items()
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
    known: dict[str, types.ServiceFile],
) -> None:
    """Read the files that refs name and `known` lacks, by digest."""
    for service, ref in refs.items():
        if ref["digest"] in known:
            continue
        found = await store.get(keys.name_chunk(ref["digest"]))
        if found is None:
            raise errors.MalformedCatalogError(f"no chunk of {service!r}")
        known[ref["digest"]] = decode_chunk(found.value, ref["digest"])


def decode_chunk(value: bytes, digest: str) -> types.ServiceFile:
    """Read a service's file and check its digest."""
    if hashlib.sha256(value).hexdigest() != digest:
        raise errors.MalformedCatalogError(f"chunk {digest} is damaged")
    try:
        return msgspec.json.decode(value, type=types.ServiceFile)
    except (msgspec.ValidationError, msgspec.DecodeError) as err:
        raise errors.MalformedCatalogError(str(err)) from err


__all__ = (
    "HeadCodec",
    "decode_chunk",
    "read_chunks",
    "read_head",
    "read_revision",
)
