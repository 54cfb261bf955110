"""Publication of operators' files as the next revision."""

from __future__ import annotations

import hashlib
from collections.abc import Collection
from collections.abc import Iterable

import msgspec

from cyclamenwing.catalog import audit
from cyclamenwing.catalog import errors
from cyclamenwing.catalog import revisions
from cyclamenwing.catalog import segments
from cyclamenwing.catalog import types
from cyclamenwing.catalog import validation
from cyclamenwing.store import commits
from cyclamenwing.store import keys
from cyclamenwing.store import protocol

CHAIN = "catalog"
MAX_ATTEMPTS = 32
MAX_REMOVED = 256


class UnchangedError(Exception):
    """Carry the head that a publishing would not change.

    :param head: the head as it stands
    """

    def __init__(self, head: types.Head) -> None:
        super().__init__("unchanged")
        self.head = head


class Publisher:
    """Publish files and removals as one revision.

    :param store: the platform's key-value service
    :param files: files to publish
    :param removals: services to take away
    :param change: who publishes, from where and when
    :param commit_id: the same for each repetition of this publishing
    :param base_revision: the revision that the author saw
    """

    def __init__(
        self,
        store: protocol.Store,
        files: Iterable[types.ServiceFile],
        removals: Collection[str],
        change: audit.Change,
        commit_id: str,
        base_revision: int | None,
    ) -> None:
        self._store = store
        self._files = {file["service"]: file for file in files}
        self._chunks = {
            service: msgspec.json.encode(file)
            for service, file in self._files.items()
        }
        self._digests = {
            service: hashlib.sha256(chunk).hexdigest()
            for service, chunk in self._chunks.items()
        }
        self._removals = removals
        self._change = change
        self._commit_id = commit_id
        self._base_revision = base_revision
        self._known = {
            self._digests[service]: file
            for service, file in self._files.items()
        }

    async def publish(self) -> types.Head:
        """Commit the revision once and return the head after it."""
        for service, chunk in self._chunks.items():
            key = keys.name_chunk(self._digests[service])
            await segments.write_once(self._store, key, chunk)
        try:
            done = await commits.commit(
                self._store,
                keys.CATALOG_HEAD,
                revisions.HeadCodec(),
                self._commit_id,
                self._apply,
                MAX_ATTEMPTS,
                self._prepare,
            )
        except UnchangedError as err:
            return err.head
        return done.document

    async def _prepare(self, head: types.Head) -> None:
        changed = self._list_changed(head)
        if not changed:
            raise UnchangedError(head)
        self._check_base(head, changed)
        before = await self._read_services(head)
        after = {**before, **self._files}
        for service in self._removals:
            after.pop(service, None)
        found = validation.check_revision_change(before, after)
        if found:
            lines = "\n".join(str(finding) for finding in found)
            raise errors.CatalogInvalidError(
                f"with revision {head['revision']} in force:\n{lines}"
            )
        await segments.store_segments(self._store, CHAIN, head)

    def _apply(self, head: types.Head) -> None:
        changed = self._list_changed(head)
        segments.drop_stored(head)
        head["revision"] += 1
        for service in changed:
            self._apply_service(head, service)
        audit.record_commit(head, self._commit_id)

    def _apply_service(self, head: types.Head, service: str) -> None:
        before = head["services"].pop(service, None)
        ref: types.ServiceRef = {
            "digest": self._digests.get(service, ""),
            "revision": head["revision"],
            "author": self._change.author,
        }
        place = head["services"] if ref["digest"] else head["removed"]
        place[service] = ref
        if ref["digest"]:
            head["removed"].pop(service, None)
        while len(head["removed"]) > MAX_REMOVED:
            del head["removed"][next(iter(head["removed"]))]
        made = self._change._replace(subject=service, before=before, after=ref)
        audit.append_record(head, made, self._commit_id)

    def _list_changed(self, head: types.Head) -> list[str]:
        refs = head["services"]
        changed = [
            service
            for service, digest in self._digests.items()
            if service not in refs or refs[service]["digest"] != digest
        ]
        gone = [service for service in self._removals if service in refs]
        return [*changed, *gone]

    def _check_base(self, head: types.Head, changed: list[str]) -> None:
        if self._base_revision is None:
            return
        for service in changed:
            ref = head["services"].get(service)
            ref = ref or head["removed"].get(service)
            if ref is not None and ref["revision"] > self._base_revision:
                raise errors.PublishConflictError(
                    _describe_conflict(head, service, ref)
                )

    async def _read_services(
        self, head: types.Head
    ) -> dict[str, types.ServiceFile]:
        await revisions.read_chunks(self._store, head["services"], self._known)
        return {
            service: self._known[ref["digest"]]
            for service, ref in head["services"].items()
        }


async def publish_files(
    store: protocol.Store,
    files: Iterable[types.ServiceFile],
    change: audit.Change,
    commit_id: str,
    base_revision: int | None = None,
    removals: Collection[str] = (),
) -> types.Head:
    """Publish files as one revision with one audit record a service.

    Files that are in force already change nothing. Raise
    `PublishConflictError` when a service that is published changed after
    `base_revision`, and `CatalogInvalidError` when the files don't fit the
    revision in force.
    """
    publisher = Publisher(
        store, files, removals, change, commit_id, base_revision
    )
    return await publisher.publish()


def _describe_conflict(
    head: types.Head, service: str, ref: types.ServiceRef
) -> str:
    what = "changed" if ref["digest"] else "removed"
    made = [
        record
        for record in head["audit"]
        if record["subject"] == service and record["after"] == ref
    ]
    where = f" from {made[-1]['origin']!r}" if made else ""
    return (
        f"{service!r} was {what} by {ref['author']!r}{where} in revision"
        f" {ref['revision']}; look with"
        f" `audit --service {service} --diff {ref['revision']}`"
    )


__all__ = (
    "CHAIN",
    "Publisher",
    "publish_files",
)
